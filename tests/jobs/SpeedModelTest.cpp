// Tests of the duration factors that are learned from runs. The loads are those of a cell with machine types of 0.7 and
// 1.7, or of alike ones, whose estimates are off by up to two.

#include "jobs/SpeedModel.h"

#include <cmath>
#include <cppunit/extensions/HelperMacros.h>
#include <random>

namespace sapphiredale::jobs {

using std::chrono::milliseconds;
using std::chrono::seconds;

class SpeedModelTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(SpeedModelTest);
    CPPUNIT_TEST(alikeTypesStayAtExactlyOne);
    CPPUNIT_TEST(typesWithinATenthStayAtExactlyOne);
    CPPUNIT_TEST(fewObservationsShowNothing);
    CPPUNIT_TEST(unlikeTypesAreLearnedFromSeparateJobs);
    CPPUNIT_TEST(unlikeTypesAreLearnedFromFewSharedJobs);
    CPPUNIT_TEST(typesThatAreAlikeShareOneFactor);
    CPPUNIT_TEST(slowWorkerIsNoticedWithinTwoReportsAndRecovers);
    CPPUNIT_TEST(slowWorkerWithoutRunsCountsAsRecovered);
    CPPUNIT_TEST(slowWorkerDoesNotChangeItsType);
    CPPUNIT_TEST(lastingDifferenceWithinATypeIsLearned);
    CPPUNIT_TEST(changesAreAnnouncedOnce);
    CPPUNIT_TEST_SUITE_END();

    static constexpr std::uint32_t workers = 30;

    /// A third of the workers is of each type.
    struct Load {
        explicit Load(std::array<double, 3> factors, std::uint64_t seed)
            : m_factors(factors)
            , m_random(seed)
        {
            for (WorkerNumber i = 0; i < workers; ++i)
                m_model.putWorker(i, 0, "pool", std::string(1, static_cast<char>('a' + i % 3)));
        }
        double draw(double low, double high) { return std::uniform_real_distribution<double>(low, high)(m_random); }
        double jobError() { return std::exp(draw(-std::log(2.0), std::log(2.0))); }
        void run(WorkerNumber worker, std::uint64_t job, double error, double percent = 100)
        {
            const double own = m_slow.contains(worker) ? m_slow.at(worker) : 1.0;
            const double ratio = m_factors[worker % 3] * own * error * draw(0.85, 1.15);
            m_model.observe({ worker, job, ratio, percent }, m_now);
        }
        /// Runs jobs with one task on each of the given number of workers, one job each 20 ms.
        void runJobs(int count, int tasks)
        {
            for (int i = 0; i < count; ++i) {
                const double error = jobError();
                ++m_job;
                for (int k = 0; k < tasks; ++k)
                    run(static_cast<WorkerNumber>(m_random() % workers), m_job, error);
                pass(milliseconds(20));
            }
        }
        void pass(Duration time)
        {
            m_now += time;
            m_model.update(m_now);
        }

        std::array<double, 3> m_factors;
        std::mt19937_64 m_random;
        SpeedModel m_model;
        std::map<WorkerNumber, double> m_slow;
        std::uint64_t m_job = 0;
        TimePoint m_now = TimePoint(seconds(100));
    };

    static void assertAlike(Load& load)
    {
        CPPUNIT_ASSERT(load.m_model.isUniform(0));
        for (WorkerNumber i = 0; i < workers; ++i)
            CPPUNIT_ASSERT_EQUAL(1.0, load.m_model.factor(i));
    }

    static void assertFactor(double expected, double tolerance, const Load& load, WorkerNumber worker)
    {
        CPPUNIT_ASSERT_DOUBLES_EQUAL(1.0, load.m_model.factor(worker) / expected, tolerance);
    }

public:
    // Guards against differences that are read out of wrong estimates: 20 cells with alike workers, jobs of one to four
    // tasks. Also where all run times are 1.5 times their estimates.
    void alikeTypesStayAtExactlyOne()
    {
        for (std::uint64_t seed = 1; seed <= 20; ++seed) {
            const double level = seed % 2 == 0 ? 1.0 : 1.5;
            Load load({ level, level, level }, seed);
            for (int i = 0; i < 30; ++i) {
                load.runJobs(50, 1 + i % 4);
                assertAlike(load);
            }
        }
    }

    // Guards against decisions that change for differences which do not matter.
    void typesWithinATenthStayAtExactlyOne()
    {
        Load load({ 1.0, 1.04, 0.97 }, 1);
        load.runJobs(3000, 3);
        assertAlike(load);
    }

    // Guards against a type that is judged by its first job, whose estimate may be off by two.
    void fewObservationsShowNothing()
    {
        Load load({ 0.7, 0.7, 1.7 }, 1);
        load.runJobs(4, 1);
        assertAlike(load);
    }

    // Guards against a load of single tasks that never shows types: 4 s of 50 jobs a second.
    void unlikeTypesAreLearnedFromSeparateJobs()
    {
        for (std::uint64_t seed = 1; seed <= 10; ++seed) {
            Load load({ 0.7, 0.7, 1.7 }, seed);
            load.runJobs(200, 1);
            CPPUNIT_ASSERT(!load.m_model.isUniform(0));
            assertFactor(0.7, 0.2, load, 0);
            assertFactor(1.7, 0.2, load, 2);
        }
    }

    // Guards against a ratio of types that suffers from wrong estimates: jobs with tasks on both show it within a
    // second of 20 jobs.
    void unlikeTypesAreLearnedFromFewSharedJobs()
    {
        for (std::uint64_t seed = 1; seed <= 10; ++seed) {
            Load load({ 0.7, 0.7, 1.7 }, seed);
            load.runJobs(20, 6);
            CPPUNIT_ASSERT(!load.m_model.isUniform(0));
            const double ratio = load.m_model.factor(2) / load.m_model.factor(0);
            CPPUNIT_ASSERT_DOUBLES_EQUAL(1.0, ratio / (1.7 / 0.7), 0.15);
        }
    }

    // Guards against a preference between types that differ by chance.
    void typesThatAreAlikeShareOneFactor()
    {
        Load load({ 0.7, 0.7, 1.7 }, 3);
        load.runJobs(500, 3);
        CPPUNIT_ASSERT_EQUAL(load.m_model.factor(0), load.m_model.factor(1));
        CPPUNIT_ASSERT_EQUAL(load.m_model.fastestFactor(0), load.m_model.factor(0));
        CPPUNIT_ASSERT_EQUAL(load.m_model.slowestFactor(0), load.m_model.factor(2));
    }

    // Guards against a worker that takes five times as long and gets work as before, and one that is avoided after it
    // has recovered. Replays two long runs that report each second.
    void slowWorkerIsNoticedWithinTwoReportsAndRecovers()
    {
        for (const bool isUniform : { true, false }) {
            Load load({ isUniform ? 1.0 : 0.7, isUniform ? 1.0 : 0.7, isUniform ? 1.0 : 1.7 }, 4);
            load.runJobs(300, 3);
            const double before = load.m_model.factor(0);
            const std::uint64_t jobs = load.m_job + 1;
            const auto report = [&](int count) {
                for (int i = 0; i < count; ++i) {
                    for (const std::uint64_t job : { jobs, jobs + 1 })
                        load.run(0, job, 1.3, 10);
                    load.pass(seconds(1));
                }
            };
            report(3);
            CPPUNIT_ASSERT_DOUBLES_EQUAL(before, load.m_model.factor(0), isUniform ? 0.0 : 0.02);
            load.m_slow[0] = 5;
            report(2);
            CPPUNIT_ASSERT(load.m_model.factor(0) > 2.5 * before);
            CPPUNIT_ASSERT(!load.m_model.isUniform(0));
            report(4);
            CPPUNIT_ASSERT(load.m_model.factor(0) > 2.5 * before);
            load.m_slow.clear();
            report(2);
            CPPUNIT_ASSERT_DOUBLES_EQUAL(1.0, load.m_model.factor(0) / before, 0.1);
            CPPUNIT_ASSERT_EQUAL(isUniform, load.m_model.isUniform(0));
        }
    }

    // Guards against a worker that is avoided for ever, since nothing runs there that could show its recovery.
    void slowWorkerWithoutRunsCountsAsRecovered()
    {
        Load load({ 1, 1, 1 }, 5);
        load.runJobs(300, 3);
        load.m_slow[0] = 5;
        // Three tasks report twice.
        for (int i = 0; i < 2; ++i) {
            for (std::uint64_t job = load.m_job + 1; job <= load.m_job + 3; ++job)
                load.run(0, job, 1.0, 20);
            load.pass(seconds(1));
        }
        CPPUNIT_ASSERT(load.m_model.factor(0) > 2);
        load.pass(milliseconds(3100));
        CPPUNIT_ASSERT_EQUAL(1.0, load.m_model.factor(0));
    }

    // Guards against a disturbed worker that makes its whole type look slow.
    void slowWorkerDoesNotChangeItsType()
    {
        Load load({ 0.7, 0.7, 1.7 }, 6);
        load.runJobs(300, 3);
        load.m_slow[0] = 5;
        load.runJobs(300, 3);
        assertFactor(0.7, 0.2, load, 3);
        CPPUNIT_ASSERT(load.m_model.factor(0) > 2 * load.m_model.factor(3));
    }

    // Guards against a worker with a lasting fault, half as fast as its type, that never shows. Replays two minutes.
    void lastingDifferenceWithinATypeIsLearned()
    {
        Load load({ 1, 1, 1 }, 7);
        load.m_slow[0] = 1.8;
        load.runJobs(6000, 3);
        assertFactor(1.8, 0.25, load, 0);
        CPPUNIT_ASSERT_EQUAL(1.0, load.m_model.factor(1));
    }

    // Guards against a log line for each step of the learning.
    void changesAreAnnouncedOnce()
    {
        Load load({ 0.7, 0.7, 1.7 }, 8);
        std::size_t announced = 0;
        for (int i = 0; i < 40; ++i) {
            load.runJobs(50, 3);
            announced += load.m_model.takeTypeChanges().size();
        }
        CPPUNIT_ASSERT(announced >= 3);
        CPPUNIT_ASSERT(announced <= 6);
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), load.m_model.typeFactors().size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SpeedModelTest);

} // namespace sapphiredale::jobs

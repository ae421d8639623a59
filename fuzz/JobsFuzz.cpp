// Stateful property test of the job scheduler: successive terms, also without the accepted jobs; partitioned, restarted
// and unreliable workers; late orders, lost replies, cancellations and store outages. The model is the number of
// accepted jobs; the oracle is the simulated cell, which detects tasks that run twice, out of order, beyond a worker's
// capacity or after their end.

#include "fuzz/Fuzzing.h"
#include "tests/jobs/SimulatedCell.h"

#include <rapidcheck/state.h>

namespace sapphiredale::fuzz {

namespace {

    using jobs::SimulatedCell;
    using jobs::SimulatedWorker;
    using std::chrono::milliseconds;
    using std::chrono::seconds;

    constexpr std::uint32_t workerCount = 5;

    enum class Sabotage : std::uint8_t {
        None,
        /// Drops the workers on which tasks may run at a takeover.
        ForgottenPlaces,
        /// Drops the succeeded tasks at a takeover.
        ForgottenEnds,
    };

    struct Model {
        std::uint32_t m_jobs = 0;
    };

    struct Cell {
        Cell(std::uint64_t seed, Sabotage sabotage)
            : m_cell(workerCount, seed)
            , m_sabotage(sabotage)
        {
            m_cell.m_allowedShare = 0.7;
            m_cell.listAll();
            m_cell.takeOver();
            m_cell.run(milliseconds(50));
        }

        SimulatedWorker& worker(std::uint32_t number)
        {
            return std::next(m_cell.m_workers.begin(), number % workerCount)->second;
        }

        void takeOver()
        {
            for (auto& [id, progress] : m_cell.m_store) {
                if (m_sabotage == Sabotage::ForgottenPlaces)
                    progress.m_places.clear();
                if (m_sabotage == Sabotage::ForgottenEnds && !jobs::isFinal(progress.m_state))
                    progress.m_done.clear();
            }
            m_cell.takeOver();
        }

        SimulatedCell m_cell;
        const Sabotage m_sabotage;
    };

    using CellCommand = rc::state::Command<Model, Cell>;

    std::string jobName(std::uint32_t number) { return "j" + std::to_string(number); }

    /// Advances the time and fails on a violation.
    void runFor(Cell& cell, Duration time)
    {
        cell.m_cell.run(time);
        if (!cell.m_cell.m_violations.empty())
            RC_FAIL(*cell.m_cell.m_violations.begin());
    }

    struct Accept final : CellCommand {
        const std::uint32_t m_tasks = *rc::gen::inRange<std::uint32_t>(1, 7);
        const std::uint32_t m_cpuMillis = *rc::gen::inRange<std::uint32_t>(1000, 12000);
        const std::uint32_t m_estimateMs = *rc::gen::inRange<std::uint32_t>(100, 4000);
        const bool m_hasAdvice = *rc::gen::arbitrary<bool>();

        void apply(Model& model) const override { ++model.m_jobs; }
        void run(const Model& model, Cell& cell) const override
        {
            jobs::StepSpec second = SimulatedCell::step(2, 4000, milliseconds(300));
            second.m_dependsOn = { 0 };
            jobs::JobRecord job = SimulatedCell::job(jobName(model.m_jobs),
                { SimulatedCell::step(m_tasks, m_cpuMillis, milliseconds(m_estimateMs)), second });
            if (m_hasAdvice)
                job.m_policy.m_advice = jobs::AdvicePolicy { milliseconds(30), milliseconds(2), seconds(2) };
            cell.m_cell.accept(job);
            runFor(cell, milliseconds(50));
        }
        void show(std::ostream& out) const override
        {
            out << "accept " << m_tasks << " tasks of " << m_cpuMillis << " and " << m_estimateMs << " ms"
                << (m_hasAdvice ? ", with advice" : "");
        }
    };

    struct Cancel final : CellCommand {
        const std::uint32_t m_job = *rc::gen::inRange<std::uint32_t>(0, 1000);

        void checkPreconditions(const Model& model) const override { RC_PRE(model.m_jobs > 0U); }
        void run(const Model& model, Cell& cell) const override
        {
            cell.m_cell.cancel(JobId(jobName(m_job % model.m_jobs)));
            runFor(cell, milliseconds(50));
        }
        void show(std::ostream& out) const override { out << "cancel " << m_job; }
    };

    struct TakeOver final : CellCommand {
        const bool m_isPartial = *rc::gen::arbitrary<bool>();
        const std::uint32_t m_lateMs = *rc::gen::inRange<std::uint32_t>(0, 1500);

        void run(const Model&, Cell& cell) const override
        {
            cell.m_cell.m_isAcceptedTopicUnavailable = m_isPartial;
            cell.takeOver();
            runFor(cell, milliseconds(m_lateMs));
            if (m_isPartial)
                cell.m_cell.readAccepted();
            runFor(cell, milliseconds(50));
        }
        void show(std::ostream& out) const override
        {
            out << "take over" << (m_isPartial ? " without the accepted jobs for " : " and run for ") << m_lateMs
                << " ms";
        }
    };

    struct Disturb final : CellCommand {
        enum class Kind : std::uint8_t { Reach, DelayStarts, LoseAnswers, Reborn, Store, ListAll };
        const std::uint32_t m_worker = *rc::gen::inRange<std::uint32_t>(0, workerCount);
        const Kind m_kind = *rc::gen::element(
            Kind::Reach, Kind::DelayStarts, Kind::LoseAnswers, Kind::Reborn, Kind::Store, Kind::ListAll);

        void run(const Model&, Cell& cell) const override
        {
            SimulatedWorker& worker = cell.worker(m_worker);
            const jobs::WorkerDescription& description = worker.m_description;
            switch (m_kind) {
            case Kind::Reach:
                worker.m_isReachable = !worker.m_isReachable;
                break;
            case Kind::DelayStarts:
                worker.m_delaysStarts = !worker.m_delaysStarts;
                break;
            case Kind::LoseAnswers:
                worker.m_losesAnswers = !worker.m_losesAnswers;
                break;
            case Kind::Reborn:
                cell.m_cell.restartWorker(description.m_worker, description.m_capacity);
                break;
            case Kind::Store:
                cell.m_cell.m_isStoreUp = !cell.m_cell.m_isStoreUp;
                break;
            case Kind::ListAll:
                cell.m_cell.listAll();
                break;
            }
            runFor(cell, milliseconds(50));
        }
        void show(std::ostream& out) const override
        {
            static constexpr const char* names[]
                = { "cut or heal", "delay starts of", "lose answers of", "restart", "toggle the store,", "list all," };
            out << names[static_cast<std::size_t>(m_kind)] << " worker " << m_worker;
        }
    };

    struct Wait final : CellCommand {
        const std::uint32_t m_ms = *rc::gen::inRange<std::uint32_t>(50, 5000);

        void run(const Model&, Cell& cell) const override { runFor(cell, milliseconds(m_ms)); }
        void show(std::ostream& out) const override { out << "wait for " << m_ms << " ms"; }
    };

    /// Once all faults have ended, every accepted job must end.
    void finish(Cell& cell)
    {
        cell.m_cell.endFaults();
        runFor(cell, seconds(60));
        for (const auto& [id, record] : cell.m_cell.m_accepted)
            RC_ASSERT(jobs::isFinal(cell.m_cell.m_scheduler->state(id)));
    }

    void checkCell(Sabotage sabotage)
    {
        Cell cell(*rc::gen::inRange<std::uint64_t>(1, 1000000), sabotage);
        // Jobs and waiting are as frequent as each fault.
        rc::state::check(Model {}, cell,
            rc::state::gen::execOneOfWithArgs<Accept, Accept, Cancel, TakeOver, Disturb, Disturb, Wait, Wait>());
        finish(cell);
    }

} // namespace

} // namespace sapphiredale::fuzz

int main()
{
    using namespace sapphiredale::fuzz;
    const auto with = [](Sabotage sabotage) { return [sabotage] { checkCell(sabotage); }; };
    bool good = runTestable("jobs", false, with(Sabotage::None));
    good = runTestable("jobs, a successor does not know the places", true, with(Sabotage::ForgottenPlaces)) && good;
    good = runTestable("jobs, a successor does not know the ends", true, with(Sabotage::ForgottenEnds)) && good;
    return good ? 0 : 1;
}

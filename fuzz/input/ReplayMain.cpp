// Plain driver of a fuzz target: runs it once for every file of the directories in the arguments.

#include <cstdint>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <string>
#include <system_error>

// The name is given by libFuzzer. NOLINTNEXTLINE(readability-identifier-naming)
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size);

int main(int argc, char** argv)
{
    int count = 0;
    for (int i = 1; i < argc; ++i) {
        std::error_code error;
        for (const auto& entry : std::filesystem::directory_iterator(argv[i], error)) {
            std::ifstream stream(entry.path(), std::ios::binary);
            const std::string text { std::istreambuf_iterator<char>(stream), std::istreambuf_iterator<char>() };
            LLVMFuzzerTestOneInput(reinterpret_cast<const std::uint8_t*>(text.data()), text.size());
            ++count;
        }
    }
    std::printf("%d inputs\n", count);
    // A run without inputs has not verified anything.
    return count > 0 ? 0 : 1;
}

#include <cstdlib>
#include <filesystem>
#include <random>
#include <sstream>

#include <boost/test/unit_test.hpp>

#include "soakworld.h"

namespace
{

/// Seeds that once failed, each with its cause, and one more for the usual run.
const std::vector<std::uint64_t> UsualSeeds{ 1 };

/// COWSLIPHEAD_SOAK_SEEDS names the seeds, as "1 2 3"; "fresh N" draws N new ones.
std::vector<std::uint64_t> chosenSeeds()
{
    const char *text = std::getenv("COWSLIPHEAD_SOAK_SEEDS");
    if (text == nullptr) {
        return UsualSeeds;
    }
    std::istringstream words(text);
    std::string word;
    std::vector<std::uint64_t> seeds;
    while (words >> word) {
        if (word == "fresh") {
            int count = 0;
            words >> count;
            for (std::random_device device; count > 0; --count) {
                seeds.push_back(device());
            }
        } else {
            seeds.push_back(std::stoull(word));
        }
    }
    return seeds;
}

void play(std::uint64_t seed)
{
    const auto folder = std::filesystem::temp_directory_path() / ("cowsliphead-soak-" + std::to_string(getpid()) + "-" + std::to_string(seed));
    std::filesystem::create_directories(folder);
    std::vector<std::string> findings;
    std::vector<std::string> faults;
    {
        SoakWorld world(seed, folder.string());
        findings = world.play();
        faults = world.faults();
    }
    BOOST_TEST(findings.empty(), "seed " << seed << " broke " << findings.size() << " promises; logs in " << folder);
    if (findings.empty()) {
        std::filesystem::remove_all(folder);
        return;
    }
    for (const auto &fault : faults) {
        BOOST_TEST_MESSAGE(fault);
    }
    constexpr std::size_t MostShown = 10;
    for (std::size_t index = 0; index < std::min(MostShown, findings.size()); ++index) {
        BOOST_TEST_MESSAGE(findings[index]);
    }
}

} // namespace

BOOST_AUTO_TEST_SUITE(gateways_under_a_series_of_faults)

BOOST_AUTO_TEST_CASE(keep_their_promises_and_recover)
{
    for (const auto seed : chosenSeeds()) {
        play(seed);
    }
}

BOOST_AUTO_TEST_SUITE_END()

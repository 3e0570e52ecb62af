// Tests of the histograms: cumulative buckets, and values above the last bound.

#include "daemon/Metrics.h"

#include <doctest/doctest.h>

using namespace jacinthspindle;
using namespace std::chrono_literals;

TEST_CASE("buckets of a histogram count all values up to their bounds, and +Inf counts every value")
{
    daemon::Metrics metrics;
    for (auto value : { 10ms, 11ms, 150ms, 60000ms })
        metrics.observe(daemon::Distribution::FirstToken, value);
    auto text = metrics.prometheusText();
    const std::string name = "jacinthspindle_first_token_seconds_histogram";
    for (const auto& line : { std::string("_bucket{le=\"0.005\"} 0\n"), std::string("_bucket{le=\"0.01\"} 1\n"),
             std::string("_bucket{le=\"0.02\"} 2\n"), std::string("_bucket{le=\"0.2\"} 3\n"),
             std::string("_bucket{le=\"20\"} 3\n"), std::string("_bucket{le=\"+Inf\"} 4\n"),
             std::string("_count 4\n") }) {
        CAPTURE(line);
        CHECK(text.find(name + line) != std::string::npos);
    }
    CHECK(text.find("# TYPE " + name + " histogram\n") != std::string::npos);
}

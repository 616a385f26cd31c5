#include <geraniumdoor/edge/edge_settings.hpp>

// clang-format off: this header stays last.
#include "testing.hpp"
// clang-format on

using namespace geraniumdoor;

namespace
{

const std::string sample = R"({
  // Rendered by the platform.
  "host": "edge-a-1", "data_centre": "a", "region": "r",
  "callers": "10.1.0.41:8625", "readiness": "10.1.0.41:8621",
  "metrics": "10.1.0.41:9464",
  "directory": "10.1.0.41:8620", "peers": "10.1.0.41:7740", "store": "10.200.1.7:8624",
  "seeds": ["10.1.0.41:8628", "10.2.0.25:8628"],
  "processor_share": 0.25, "open_files": 4100, "retry_ratio": 0.2, "retry_slack": 54,
  "retry_window_s": 10, "cold_factor": 1.5, "cold_extra": 5, "stop_time_s": 8,
  "address_life_s": 5})";

std::string with(const std::string& before, const std::string& after)
{
    std::string text = sample;
    text.replace(text.find(before), before.size(), after);
    return text;
}

} // namespace

// Guards against a host that starts with misread settings.
TestSuite(edge_settings);

Test(edge_settings, a_rendered_file_is_parsed)
{
    const auto settings = edge::parse_edge_settings(sample);
    cr_assert(is_ok(settings));
    EXPECT_EQUAL(value_of(settings).m_seeds.size(), 2U);
    EXPECT_EQUAL(value_of(settings).m_shutdown_timeout, milliseconds{8000});
}

Test(edge_settings, each_error_names_its_key)
{
    const auto address =
        edge::parse_edge_settings(with("\"10.200.1.7:8624\"", "\"store.example:80\""));
    cr_assert(not is_ok(address));
    EXPECT_EQUAL(to_text(error_of(address)),
                 "store: must be an IP number and a port, such as 10.1.0.41:8625");
    const auto unknown = edge::parse_edge_settings(with("\"open_files\"", "\"files\""));
    cr_assert(not is_ok(unknown));
    cr_expect(error_of(unknown).size() >= 2, "the missing key and the unknown one");
    cr_expect(not is_ok(edge::parse_edge_settings("{")));
}

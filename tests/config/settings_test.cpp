#include <geraniumdoor/base/random.hpp>
#include <geraniumdoor/config/daemon_settings.hpp>

#include <algorithm>
#include <fstream>
#include <sstream>

// clang-format off: this header stays last.
#include "testing.hpp"
// clang-format on

using namespace geraniumdoor;

// Guards against settings that are half read: a fault that hides other faults, a
// misspelt key that is ignored, or a default that is used without a word.
TestSuite(settings);

namespace
{

std::string read_file(const std::string& path)
{
    std::ifstream file{path};
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

std::string faults_of(std::string_view text)
{
    const auto settings = parse_daemon_settings(text);
    return is_ok(settings) ? "" : to_text(error_of(settings));
}

bool contains(const std::string& text, const std::string& part)
{
    return text.find(part) != std::string::npos;
}

} // namespace

Test(settings, the_annotated_examples_are_accepted_and_show_the_defaults)
{
    const std::pair<const char*, const char*> examples[] = {
        {"examples/farm/entry-1.json", "127.0.0.1:21301"},
        {"examples/print/entry-1.json", "127.0.0.1:23301"}};
    for (const auto& [path, peer_address] : examples)
    {
        const auto settings = parse_daemon_settings(read_file(path));
        cr_assert(is_ok(settings), "%s: %s", path, to_text(error_of(settings)).c_str());
        const daemon_settings& read = value_of(settings);
        const daemon_settings defaults;
        EXPECT_EQUAL(read.m_node.m_value, "entry-1");
        EXPECT_EQUAL(to_text(read.m_peer_address), peer_address);
        EXPECT_EQUAL(read.m_seeds.size(), 2u);
        EXPECT_EQUAL(read.m_lease.m_renewal, defaults.m_lease.m_renewal);
        EXPECT_EQUAL(read.m_requests.m_supplied_key_keep,
                     defaults.m_requests.m_supplied_key_keep);
    }
}

Test(settings, all_faults_are_reported_in_one_go_with_key_and_accepted_values)
{
    const std::string faults = faults_of(R"({
        "node": "entry 1", "data_centre": 7, "caller_address": "localhost:80",
        "admin_address": "127.0.0.1:0", "peer_address": "127.0.0.1:70000",
        "table_service": "127.0.0.1:20001", "host_list": "[::1]:20004",
        "lease": {"renewal_ms": 0, "renewl": 1}, "log_to_stderr": "yes"})");
    cr_expect(contains(faults, "node: must be 1 to 64 letters"));
    cr_expect(contains(faults, "data_centre: must be"));
    cr_expect(contains(faults, "region: is missing"));
    cr_expect(contains(faults, "caller_address: must be an IP number and a port"));
    cr_expect(contains(faults, "admin_address: must be an IP number"));
    cr_expect(contains(faults, "peer_address: must be an IP number"));
    cr_expect(contains(faults, "lease.renewal_ms: must be a whole number from 1"));
    cr_expect(contains(faults, "lease.renewl: is not a known key; accepted keys: "));
    cr_expect(contains(faults, "log_to_stderr: must be true or false"));
    cr_expect(not contains(faults, "host_list"));
}

Test(settings, a_syntax_error_is_reported_with_line_and_column)
{
    const std::string faults = faults_of("{\n  \"node\": entry\n}");
    cr_expect(contains(faults, "syntax error at line 2, column 11"), "%s",
              faults.c_str());
}

Test(settings, random_and_truncated_bytes_are_refused_without_a_crash)
{
    const std::string text = read_file("examples/farm/entry-1.json");
    const auto last_brace = text.rfind('}');
    for (std::size_t length = 0; length <= last_brace; length += 7)
    {
        cr_expect(not faults_of(text.substr(0, length)).empty());
    }
    random_source random{20261204};
    for (int i = 0; i < 2000; ++i)
    {
        std::string damaged = text;
        damaged[uniform_below(random, static_cast<std::uint32_t>(damaged.size()))] =
            static_cast<char>(random());
        (void)faults_of(damaged);
    }
}

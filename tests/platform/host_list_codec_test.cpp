#include "fuzz_support.hpp"
#include "testing.hpp"

#include <geraniumdoor/platform/host_list_codec.hpp>

#include <rapidcheck.h>

using namespace geraniumdoor;

namespace
{

constexpr std::string_view two_hosts =
    R"({"hosts":[{"id":"llm-01","kind":"upstream","pool":"llm","ip":"127.0.0.1",)"
    R"("port":20001,"data_centre":"ibadan-1","region":"ibadan","state":"leaving"},)"
    R"({"id":"entry-1","kind":"entry","pool":"","ip":"127.0.0.1","port":21101,)"
    R"("admin_port":21201,"peer_port":21301,"data_centre":"ibadan-1",)"
    R"("region":"ibadan","state":"live"}]})";

std::string list_with(std::string_view from, std::string_view to)
{
    std::string text{two_hosts};
    return text.replace(text.find(from), from.size(), to);
}

} // namespace

// Guards against hosts that seem to have gone because the list was cut or malformed.
TestSuite(host_list_codec);

Test(host_list_codec, reads_both_kinds_of_host)
{
    const auto list = decode_host_list(two_hosts);
    cr_assert(is_ok(list));
    cr_assert(value_of(list).m_upstreams.size() == 1);
    cr_assert(value_of(list).m_entry_hosts.size() == 1);
    cr_expect(value_of(list).m_upstreams[0].m_leaving);
    EXPECT_EQUAL(value_of(list).m_upstreams[0].m_endpoint.m_port, 20001);
    EXPECT_EQUAL(value_of(list).m_entry_hosts[0].m_peer_port, 21301);
    cr_expect(not value_of(list).m_entry_hosts[0].m_leaving);
}

Test(host_list_codec, refuses_bad_fields_and_names_them)
{
    const struct
    {
        std::string m_text;
        std::string m_field;
    } cases[] = {
        {list_with("20001", "70000"), "port"},
        {list_with("20001", "0"), "port"},
        {list_with("127.0.0.1", "example"), "ip"},
        {list_with("leaving", "gone"), "state"},
        {list_with("llm-01", ""), "id"},
        {list_with("upstream", "printer"), "kind"},
        {list_with("21301", "\"x\""), "peer_port"},
    };
    for (const auto& one : cases)
    {
        const auto list = decode_host_list(one.m_text);
        cr_assert(not is_ok(list), "%s", one.m_text.c_str());
        cr_expect(error_of(list).m_detail.find("\"" + one.m_field + "\"") !=
                  std::string::npos);
    }
}

Test(host_list_codec, refuses_truncated_lists)
{
    EXPECT_EQUAL(accepted_prefixes(two_hosts,
                                   [](std::string_view text)
                                   {
                                       return is_ok(decode_host_list(text));
                                   }),
                 0u);
}

Test(host_list_codec, survives_random_and_damaged_bytes)
{
    const bool held = rc::check(
        [](const std::string& noise, std::size_t position, char byte)
        {
            decode_host_list(noise);
            decode_host_list(with_byte(std::string{two_hosts}, position, byte));
        });
    cr_expect(held);
}

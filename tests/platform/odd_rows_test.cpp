#include <boost/json.hpp>

#include <functional>
#include <set>
#include <string>
#include <vector>

#include <platform/exchange.hpp>
#include <platform/rows.hpp>
#include <platform/store_client.hpp>

// clang-format off: this header stays last.
#include "testing.hpp"
// clang-format on

using namespace geraniumdoor;
using namespace std::chrono_literals;
namespace json = boost::json;

namespace
{

json::object sound_entry()
{
    return {{"service", "plain"}, {"address", "10.0.0.9:80"}, {"zone", "z1"},
            {"version", "v1"},    {"maxConcurrency", 8},      {"state", "ready"},
            {"sequence", 3},      {"coldRemainingMs", 0},     {"born", 1790637736006}};
}

json::value sound_configuration()
{
    return json::parse(
        R"({"version":7,"routes":[
 {"name":"r1","host":"a.example","prefix":"/p/","routeType":"streaming","timeoutMs":6000,
  "targetLatencyMs":1300,"priority":1,"weightedBackends":[{"service":"e","weight":90}],
  "maxAttempts":2,"streamResume":true,"gapAimMs":600,"public":false,
  "stages":[{"service":"s","after":[],"bytes":3000000},
            {"service":"s","after":[0],"bytes":3000000}]}],
 "services":[{"name":"e","healthPath":"/healthz","coldPerS":6.3,
   "engine":{"maxConcurrency":64,"kvTokens":499130}},
  {"name":"s","pieces":{"batch":8,"callMs":150.0,"itemMs":16.0,"roomMb":36.0,
   "handleS":4.0,"bandwidthMbps":10000}}],
 "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,
  "idleTimeoutMs":15000},
 "tenants":[{"name":"t","apiKeys":["k1"],"priority":1}]})");
}

bool accepts_entry(const json::object& entry, const std::string& id = "i-1")
{
    return is_ok(platform::decode_upstream_entry(id, json::serialize(entry)));
}

/// Returns whether the configuration is accepted with the value at a JSON pointer
/// replaced by the text.
bool accepts_configuration(const std::string& pointer, const std::string& text)
{
    json::value document = sound_configuration();
    document.at_pointer(pointer) = "REPLACED";
    std::string serialized = json::serialize(document);
    const std::string marker = R"("REPLACED")";
    serialized.replace(serialized.find(marker), marker.size(), text);
    return is_ok(platform::decode_configuration(serialized));
}

std::string nested(std::size_t depth)
{
    return std::string(depth, '[') + std::string(depth, ']');
}

} // namespace

// Guards against an odd entry of another writer that ends the hosts or keeps them from
// reading the entries beside it.
TestSuite(odd_rows);

// The same bits must not mean one thing on x86-64 and another on arm64: a cast out of
// range ends this test under the sanitizers.
Test(odd_rows, an_entry_with_a_number_out_of_range_names_no_upstream)
{
    cr_assert(accepts_entry(sound_entry()));
    for (const char* field : {"maxConcurrency", "coldRemainingMs", "born"})
    {
        for (const char* number :
             {"1e300", "-1e300", "1e18", "18446744073709551615", "1e308"})
        {
            json::object entry = sound_entry();
            entry[field] = json::parse(number);
            cr_expect(not accepts_entry(entry), "%s %s", field, number);
        }
    }
    for (const char* number : {"0", "-1", "0.5", "8.5", "65536"})
    {
        json::object entry = sound_entry();
        entry["maxConcurrency"] = json::parse(number);
        cr_expect(not accepts_entry(entry), "maxConcurrency %s", number);
    }
    for (const char* number : {"-1", "0.5"})
    {
        json::object entry = sound_entry();
        entry["born"] = json::parse(number);
        cr_expect(not accepts_entry(entry), "born %s", number);
    }
}

// Guards against a payment that runs at a worker of another service: an entry of another
// writer named the payments' service and the worker's address, and lacked the rest.
Test(odd_rows, an_entry_that_lacks_a_field_or_has_it_with_another_type_names_no_upstream)
{
    // An entry may come without its upstream's start.
    const std::set<std::string> optional{"born"};
    // A version may be a number.
    const std::set<std::string> text_or_number{"version"};
    for (const auto& [name, sound] : sound_entry())
    {
        const std::string field{name};
        json::object without = sound_entry();
        without.erase(field);
        cr_expect(accepts_entry(without) == optional.contains(field), "without %s",
                  field.c_str());
        for (const char* other :
             {"null", "true", "[]", "{}", "[1]", "\"text\"", "7", "1.5"})
        {
            const json::value value = json::parse(other);
            const bool is_same_type = value.is_number() == sound.is_number() &&
                                      value.is_string() == sound.is_string();
            const bool may_be = is_same_type ||
                                (text_or_number.contains(field) && value.is_number()) ||
                                (optional.contains(field) && value.is_null());
            json::object entry = sound_entry();
            entry[field] = value;
            cr_expect(may_be || not accepts_entry(entry), "%s is %s", field.c_str(),
                      other);
        }
    }
}

Test(odd_rows, a_cold_time_that_has_passed_counts_as_over)
{
    json::object entry = sound_entry();
    entry["coldRemainingMs"] = -3.5;
    const auto decoded = platform::decode_upstream_entry("i-1", json::serialize(entry));
    cr_assert(is_ok(decoded));
    EXPECT_EQUAL(value_of(decoded).m_cold_remaining, 0ms);
}

Test(odd_rows, an_entry_with_a_field_of_another_type_names_no_upstream)
{
    for (const auto& [field, unused] : sound_entry())
    {
        for (const char* other : {"true", "[]", "{}", "[1]"})
        {
            json::object entry = sound_entry();
            entry[field] = json::parse(other);
            cr_expect(not accepts_entry(entry), "%s", std::string{field}.c_str());
        }
    }
}

Test(odd_rows, an_entry_with_an_address_that_is_no_host_names_no_upstream)
{
    for (const char* address :
         {"", "10.0.0.9", "10.0.0.9:", "10.0.0.9:0", "10.0.0.9:65536", "10.0.0.9:-1",
          "10.0.0.9:80x", "10.0.0.9: 80", "10.0.0.9:1e3", "10.0.0.256:80", "host:80",
          "0.0.0.0:80", "255.255.255.255:80", "224.0.0.1:80", "[::]:80", "[ff02::1]:80"})
    {
        json::object entry = sound_entry();
        entry["address"] = address;
        cr_expect(not accepts_entry(entry), "%s", address);
    }
}

// The key is sent to the upstream in a header field.
Test(odd_rows, an_entry_whose_name_cannot_be_sent_names_no_upstream)
{
    for (const std::string& id :
         {std::string{}, std::string{"i 1"}, std::string{"i\r\nTenant: other"},
          std::string{"i\0", 2}, std::string{"i\xff"}, std::string(201, 'i')})
    {
        cr_expect(not accepts_entry(sound_entry(), id));
    }
    cr_expect(accepts_entry(sound_entry(), std::string(200, 'i')));
    for (const char* field : {"service", "zone"})
    {
        for (const std::string& name :
             {std::string{}, std::string{"z\n1"}, std::string(201, 'z')})
        {
            json::object entry = sound_entry();
            entry[field] = name;
            cr_expect(not accepts_entry(entry), "%s", field);
        }
    }
}

Test(odd_rows, a_deeply_nested_value_names_no_upstream)
{
    for (const std::size_t depth : {31U, 32U, 33U, 20000U})
    {
        cr_expect(not is_ok(platform::decode_upstream_entry("i-1", nested(depth))));
        const std::string beside =
            json::serialize(sound_entry()).insert(1, "\"x\":" + nested(depth) + ',');
        // A field that nobody reads does no harm, unless it cannot be parsed.
        EXPECT_EQUAL(is_ok(platform::decode_upstream_entry("i-1", beside)), depth < 32);
        cr_expect(not is_ok(platform::decode_configuration(nested(depth))));
    }
}

// Nothing of a configuration is taken over unless all of it can be read: a route or the
// list of keys must not go missing.
Test(odd_rows, a_configuration_with_an_odd_number_is_rejected)
{
    cr_assert(
        is_ok(platform::decode_configuration(json::serialize(sound_configuration()))));
    for (const char* pointer : {"/version",
                                "/routes/0/timeoutMs",
                                "/routes/0/targetLatencyMs",
                                "/routes/0/gapAimMs",
                                "/routes/0/priority",
                                "/routes/0/maxAttempts",
                                "/routes/0/weightedBackends/0/weight",
                                "/routes/0/stages/1/bytes",
                                "/routes/0/stages/1/after/0",
                                "/services/0/coldPerS",
                                "/services/0/engine/maxConcurrency",
                                "/services/0/engine/kvTokens",
                                "/services/1/pieces/batch",
                                "/services/1/pieces/callMs",
                                "/services/1/pieces/itemMs",
                                "/services/1/pieces/roomMb",
                                "/services/1/pieces/handleS",
                                "/services/1/pieces/bandwidthMbps",
                                "/limits/maxHeaderBytes",
                                "/limits/maxBodyBytes",
                                "/limits/headerTimeoutMs",
                                "/limits/idleTimeoutMs",
                                "/tenants/0/priority"})
    {
        for (const char* odd : {"1e300", "-1", "-1e300", "18446744073709551615", "\"7\"",
                                "[]", "{}", "true"})
        {
            cr_expect(not accepts_configuration(pointer, odd), "%s %s", pointer, odd);
        }
    }
}

Test(odd_rows, a_configuration_with_a_field_of_another_type_is_rejected)
{
    for (const char* pointer : {"/routes",
                                "/routes/0",
                                "/routes/0/host",
                                "/routes/0/prefix",
                                "/routes/0/routeType",
                                "/routes/0/public",
                                "/routes/0/streamResume",
                                "/routes/0/weightedBackends",
                                "/routes/0/weightedBackends/0",
                                "/routes/0/weightedBackends/0/service",
                                "/routes/0/stages",
                                "/routes/0/stages/0",
                                "/routes/0/stages/0/service",
                                "/routes/0/stages/1/after",
                                "/routes/0/stages/1/after/0",
                                "/services",
                                "/services/0",
                                "/services/0/name",
                                "/services/0/engine",
                                "/services/1/pieces",
                                "/limits",
                                "/tenants",
                                "/tenants/0",
                                "/tenants/0/name",
                                "/tenants/0/apiKeys",
                                "/tenants/0/apiKeys/0"})
    {
        cr_expect(not accepts_configuration(pointer, "7.5"), "%s", pointer);
    }
}

// A stage that waits for itself never starts, and one that is not there was looked up.
Test(odd_rows, a_configuration_with_stages_that_cannot_be_ordered_is_rejected)
{
    for (const char* stages : {"1", "2", "4294967295", "0.5"})
    {
        cr_expect(not accepts_configuration("/routes/0/stages/1/after/0", stages), "%s",
                  stages);
    }
    cr_expect(not accepts_configuration("/routes/0/stages/0/after", "[1]"));
    cr_expect(accepts_configuration("/routes/0/stages/1/after/0", "0"));
}

Test(odd_rows, a_page_is_read_past_a_row_without_a_usable_key)
{
    for (const char* odd :
         {R"({"value":"e30=","ver":5})", R"({"key":7,"value":"e30=","ver":5})", "7",
          "null", "[[[[]]]]", R"({"key":"","value":"e30=","ver":5})"})
    {
        const std::string body =
            R"({"rows":[{"key":"a","value":"eA==","ver":3},)" + std::string{odd} +
            R"(,{"key":"c","value":"eQ==","ver":4}],"hasMore":false,"ver":9})";
        const auto page = platform::decode_row_page(body, {});
        cr_assert(is_ok(page), "%s", odd);
        EXPECT_EQUAL(value_of(page).m_version, store_version{9});
        cr_assert(value_of(page).m_rows.size() >= 2);
        EXPECT_EQUAL(value_of(page).m_rows.front().m_key, "a");
        EXPECT_EQUAL(value_of(page).m_rows.back().m_key, "c");
        EXPECT_EQUAL(value_of(page).m_rows.back().m_value, "y");
    }
}

Test(odd_rows, a_page_with_a_key_of_odd_bytes_is_read)
{
    const std::string body = std::string{R"({"rows":[{"key":"i)"} + "\xff\xc0" +
                             R"(","value":"eA==","ver":3}],"ver":9})";
    const auto page = platform::decode_row_page(body, {});
    cr_assert(is_ok(page));
    EXPECT_EQUAL(value_of(page).m_rows.at(0).m_key, "i\xff\xc0");
}

Test(odd_rows, a_value_that_is_not_base64_is_empty)
{
    for (const char* value : {R"("e30=x")", R"("\u00ff\u00ff")", R"("%%%%")", R"("e")",
                              "7", "null", "[]", R"("e30\u0000")"})
    {
        const std::string body = R"({"rows":[{"key":"a","value":)" + std::string{value} +
                                 R"(,"ver":3}],"ver":9})";
        const auto page = platform::decode_row_page(body, {});
        cr_assert(is_ok(page), "%s", value);
        EXPECT_EQUAL(value_of(page).m_rows.at(0).m_value, "");
    }
}

// A host keeps the newest version of a row: with one from the future, all that is written
// later would be ignored.
Test(odd_rows, no_row_is_newer_than_its_page)
{
    for (const char* version : {"18446744073709551615", "10", "281474976710656", "-1",
                                "1e300", "3.5", "\"3\"", "null"})
    {
        const std::string body = R"({"rows":[{"key":"a","value":"","ver":)" +
                                 std::string{version} + R"(}],"ver":9})";
        const auto page = platform::decode_row_page(body, store_era{1});
        cr_assert(is_ok(page), "%s", version);
        const auto row = value_of(page).m_rows.at(0).m_version;
        cr_expect(row <= value_of(page).m_version, "%s", version);
    }
}

// The handle is sent to other upstreams in a header field.
Test(odd_rows, a_handle_that_cannot_be_sent_is_no_result)
{
    for (const char* handle : {R"(10.0.0.1:80/a\r\nTenant: t)", R"(10.0.0.1:80/a,b)",
                               R"(10.0.0.1:80/a b)", R"(10.0.0.1:80/\u0000)"})
    {
        const std::string body =
            R"({"items":[{"handle":")" + std::string{handle} + R"("},{"handle":"x"}]})";
        const auto decoded = platform::decode_pieces(body, 2);
        cr_assert(is_ok(decoded));
        EXPECT_EQUAL(value_of(decoded)[0].m_handle, "");
        EXPECT_EQUAL(value_of(decoded)[0].m_failure, platform::piece_failure::other);
        EXPECT_EQUAL(value_of(decoded)[1].m_handle, "x");
    }
}

Test(odd_rows, odd_numbers_in_header_fields_say_nothing)
{
    const std::string huge(400, '9');
    for (const std::string& odd :
         {std::string{"1e300"}, std::string{"-1"}, huge, std::string{"nan"},
          std::string{"inf"}, std::string{"0x10"}, std::string{"."}})
    {
        const auto notice =
            platform::read_notice(503, {{"Retry-After", odd}, {"Server-Limit", odd}});
        cr_expect(not notice.m_decline_time, "%s", odd.c_str());
        cr_expect(not notice.m_limit, "%s", odd.c_str());
    }
    const std::string large(300, '9');
    const auto notice = platform::read_notice(503, {{"Retry-After", large}});
    EXPECT_EQUAL(*notice.m_decline_time, 86'400s);
}

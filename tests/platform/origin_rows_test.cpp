#include "fuzz_support.hpp"

#include <set>
#include <string>
#include <vector>

#include <platform/origin_rows.hpp>
#include <platform/store_client.hpp>

// clang-format off: this header stays last.
#include "testing.hpp"
// clang-format on

using namespace geraniumdoor;

Test(origin_rows, versions_and_streams_are_read_as_they_were_written)
{
    const std::set<software_version> versions{software_version{"v1"},
                                              software_version{"v\"2"}};
    cr_expect(platform::decode_versions(platform::encode_versions(versions)) == versions);
    cr_expect(platform::decode_versions(platform::encode_versions({}))->empty());
    const std::vector<serving::stream_version> streams{
        {stream_key{0}, software_version{"v1"}},
        {stream_key{UINT64_MAX}, software_version{"v2"}}};
    cr_expect(platform::decode_streams(platform::encode_streams(streams)) == streams);
}

Test(origin_rows, rows_of_another_writer_are_rejected)
{
    const std::string nested =
        R"({"versions":)" + std::string(5000, '[') + std::string(5000, ']') + '}';
    const std::string long_name = R"({"versions":[")" + std::string(100, 'v') + R"("]})";
    for (const std::string& text :
         {std::string{}, std::string{"[]"}, std::string{R"({"versions":3})"},
          std::string{R"({"versions":["v1",2]})"}, nested, long_name})
    {
        cr_expect(not platform::decode_versions(text), "%s", text.c_str());
    }
    for (const char* text :
         {"", "{}", R"({"streams":[["1"]]})", R"({"streams":[["x","v1"]]})",
          R"({"streams":[["-1","v1"]]})", R"({"streams":[["1.5","v1"]]})",
          R"({"streams":[["99999999999999999999","v1"]]})", R"({"streams":[[1,"v1"]]})",
          R"({"streams":[["1",{}]]})"})
    {
        cr_expect(not platform::decode_streams(text), "%s", text);
    }
    const std::string whole = platform::encode_streams({{stream_key{7}, {"v1"}}});
    EXPECT_EQUAL(accepted_prefixes(whole,
                                   [](std::string_view text)
                                   {
                                       return platform::decode_streams(text).has_value();
                                   }),
                 0U);
}

Test(origin_rows, a_transaction_names_the_versions_that_rows_must_have)
{
    const std::string text = platform::encode_transaction(
        {{"t", "a", "x", false, make_store_version(store_era{3}, 12)},
         {"t", "b", "", true, store_version{}},
         {"t", "c", "y", false, std::nullopt}});
    EXPECT_EQUAL(text, R"({"expected":[{"table":"t","part":"","key":"a","ver":12},)"
                       R"({"table":"t","part":"","key":"b","ver":0}],)"
                       R"("setKeys":[{"table":"t","part":"","key":"a","value":"eA=="},)"
                       R"({"table":"t","part":"","key":"c","value":"eQ=="}],)"
                       R"("remove":[{"table":"t","part":"","key":"b"}]})");
}

#include <geraniumdoor/cluster/datagrams.hpp>

#include <rapidcheck.h>

#include <platform/exchange.hpp>
#include <platform/rows.hpp>
#include <platform/store_client.hpp>

// clang-format off: this header stays last.
#include "testing.hpp"
// clang-format on

using namespace geraniumdoor;
using namespace std::chrono_literals;

namespace
{

const std::string sample_config = R"({"version":7,"routes":[
 {"name":"r1","host":"a.example","prefix":"/p/","routeType":"streaming","timeoutMs":6000,
  "targetLatencyMs":1300,"priority":1,
  "weightedBackends":[{"service":"e","weight":90},{"service":"f","weight":10}],
  "maxAttempts":2,"stages":[{"service":"s","after":[],"bytes":3000000}],
  "public":false,"streamResume":true,"gapAimMs":600}],
 "services":[{"name":"e","healthPath":"/healthz","coldPerS":6.3,
   "engine":{"maxConcurrency":64,"kvTokens":499130}},
  {"name":"s","pieces":{"batch":8,"callMs":150.0,"itemMs":16.0,"roomMb":36.0,
   "handleS":4.0,"bandwidthMbps":10000}}],
 "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,
  "idleTimeoutMs":15000},
 "tenants":[{"name":"t","apiKeys":["k1","k2"],"priority":1}]})";

const std::string sample_entry =
    R"({"service":"e","address":"10.128.0.9:8080","zone":"z","version":"v1",)"
    R"("maxConcurrency":64,"state":"ready","coldRemainingMs":120,"sequence":4,)"
    R"("born":1790637736006})";

http_request sample_request()
{
    http_request request;
    request.m_method = "POST";
    request.m_target = "/p/1?x=1";
    request.m_fields = {{"Host", "a.example"},
                        {"Attempt-Id", "9c41"},
                        {"Deadline-Ms", "8000"},
                        {"Credential", "secret"},
                        {"Tenant", "forged"},
                        {"Kv-From", "10.0.0.1:1/x"},
                        {"Pin-Ms", "4000"},
                        {"Connection", "keep-alive, X-Hop"},
                        {"X-Hop", "1"},
                        {"X-End", "2"},
                        {"Token-Usage", "1460,80"},
                        {"Prompt-Prefix", "5c1e:800,91bd:410,e440:250"},
                        {"Pieces", "2,0,16"},
                        {"Piece-Key", "key"}};
    request.m_body = "body";
    return request;
}

} // namespace

// Guards against fields of the platform's protocol that are decoded wrongly, callers that
// set reserved fields, and input that crashes the process.
TestSuite(adapter);

Test(adapter, decodes_the_operators_configuration)
{
    const auto read = platform::decode_configuration(sample_config);
    cr_assert(is_ok(read));
    const auto& config = value_of(read);
    EXPECT_EQUAL(config.m_version.m_value, 7U);
    const auto* route = serving::find_route(config, "a.example", "/p/1");
    cr_assert(route != nullptr);
    EXPECT_EQUAL(route->m_retry_safety, serving::retry_safety::stream_resumable);
    EXPECT_EQUAL(route->m_latency_target, 1300ms);
    EXPECT_EQUAL(route->m_pools.size(), 2U);
    EXPECT_EQUAL(config.m_pools.at(pool_id{"s"}).m_pieces->m_result_memory_bytes,
                 36'000'000U);
    EXPECT_EQUAL(config.m_pools.at(pool_id{"s"}).m_pieces->m_result_ttl, 4000ms);
    EXPECT_EQUAL(config.m_pools.at(pool_id{"s"}).m_pieces->m_link_bytes_per_ms,
                 1'250'000.0);
    EXPECT_EQUAL(config.m_api_keys.at("k2").m_id.m_value, "t");
    cr_expect(config.m_keys_required);
}

Test(adapter, reports_the_missing_field_of_a_configuration)
{
    const auto no_version = platform::decode_configuration(R"({"routes":[]})");
    cr_assert(not is_ok(no_version));
    EXPECT_EQUAL(error_of(no_version).m_detail,
                 "configuration: field version is missing or of another type");
    const auto bad_route = platform::decode_configuration(
        R"({"version":1,"routes":[{"host":"a","prefix":"/","timeoutMs":1}]})");
    cr_assert(not is_ok(bad_route));
    EXPECT_EQUAL(error_of(bad_route).m_detail,
                 "route: field routeType is missing or of another type");
}

Test(adapter, rejects_malformed_registry_entries)
{
    const auto good = platform::decode_upstream_entry("i-1", sample_entry);
    cr_assert(is_ok(good));
    EXPECT_EQUAL(value_of(good).m_started_unix_ms, 1790637736006);
    EXPECT_EQUAL(value_of(good).m_cold_remaining, 120ms);
    for (const char* bad :
         {"", "[]", "{}", R"({"service":1,"address":"1.1.1.1:1","zone":"z"})",
          R"({"service":"e","address":"host:80","zone":"z","state":"ready",)"
          R"("version":"v1","coldRemainingMs":0,"sequence":1,"maxConcurrency":1})",
          R"({"service":"e","address":"1.1.1.1:1","zone":"z","state":"odd",)"
          R"("version":"v1","coldRemainingMs":0,"sequence":1,"maxConcurrency":1})",
          R"({"service":"e","address":"1.1.1.1:1","zone":"z","state":"ready",)"
          R"("version":"v1","coldRemainingMs":0,"sequence":1,"maxConcurrency":"64"})"})
    {
        cr_expect(not is_ok(platform::decode_upstream_entry("i-2", bad)), "%s", bad);
    }
}

Test(adapter, upstream_requests_drop_reserved_and_hop_by_hop_fields)
{
    platform::forwarding_fields head;
    head.m_upstream.m_value = "i-1";
    head.m_workspace.m_value = "t";
    head.m_remaining_time = 500ms;
    head.m_inputs = {"10.0.0.1:80/a", "10.0.0.1:80/b"};
    const auto request = platform::make_upstream_request(sample_request(), head);
    EXPECT_EQUAL(request.m_target, "/p/1?x=1");
    EXPECT_EQUAL(request.m_body, "body");
    EXPECT_EQUAL(find_field(request.m_fields, "Attempt-Id"), "9c41");
    EXPECT_EQUAL(find_field(request.m_fields, "Tenant"), "t");
    EXPECT_EQUAL(find_field(request.m_fields, "Deadline-Ms"), "500");
    EXPECT_EQUAL(find_field(request.m_fields, "Target-Instance"), "i-1");
    EXPECT_EQUAL(find_field(request.m_fields, "Inputs"), "10.0.0.1:80/a,10.0.0.1:80/b");
    EXPECT_EQUAL(find_field(request.m_fields, "X-End"), "2");
    for (const char* dropped : {"Credential", "Kv-From", "Pin-Ms", "Connection", "X-Hop"})
    {
        cr_expect(find_field(request.m_fields, dropped).empty(), "%s", dropped);
    }
}

Test(adapter, parses_request_metadata)
{
    const auto head = platform::parse_request_metadata(sample_request());
    cr_assert(is_ok(head));
    EXPECT_EQUAL(value_of(head).m_caller_timeout, std::optional{milliseconds{8000}});
    EXPECT_EQUAL(value_of(head).m_prompt.m_parts.size(), 3U);
    EXPECT_EQUAL(value_of(head).m_pieces, (std::vector<std::uint32_t>{2, 0, 16}));
    http_request duplicate_id = sample_request();
    duplicate_id.m_fields.emplace_back("Attempt-Id", "other");
    cr_expect(not is_ok(platform::parse_request_metadata(duplicate_id)));
    http_request negative_deadline = sample_request();
    negative_deadline.m_fields[2].second = "-1";
    cr_expect(not is_ok(platform::parse_request_metadata(negative_deadline)));
}

Test(adapter, a_request_that_takes_up_a_stream_names_the_attempt_that_began_it)
{
    cr_expect(not value_of(platform::parse_request_metadata(sample_request()))
                      .m_takes_up_stream);
    http_request resumed = sample_request();
    resumed.m_fields.emplace_back("Last-Event-Id", "4");
    auto metadata = value_of(platform::parse_request_metadata(resumed));
    cr_expect(metadata.m_takes_up_stream);
    EXPECT_EQUAL(metadata.m_first_attempt.m_value, "");
    resumed.m_fields.emplace_back("resumes", "8b30");
    metadata = value_of(platform::parse_request_metadata(resumed));
    EXPECT_EQUAL(metadata.m_first_attempt.m_value, "8b30");
    const auto forwarded = platform::make_upstream_request(resumed, {});
    EXPECT_EQUAL(find_field(forwarded.m_fields, "Resumes"), "8b30");
    // Of two, it is not known which one counts.
    http_request ambiguous = resumed;
    ambiguous.m_fields.emplace_back("Resumes", "8b31");
    cr_expect(not is_ok(platform::parse_request_metadata(ambiguous)));
    ambiguous = resumed;
    ambiguous.m_fields.emplace_back("Last-Event-Id", "5");
    cr_expect(not is_ok(platform::parse_request_metadata(ambiguous)));
}

Test(adapter, an_entry_names_the_version_of_the_software)
{
    const auto version_of = [](const std::string& field)
    {
        const std::string text =
            R"({"service":"s","address":"10.0.0.1:80","zone":"z","state":"ready",)"
            R"("maxConcurrency":1,"coldRemainingMs":0,"sequence":1)" +
            field + '}';
        return value_of(platform::decode_upstream_entry("i", text)).m_version.m_value;
    };
    EXPECT_EQUAL(version_of(R"(,"version":"v1")"), "v1");
    EXPECT_EQUAL(version_of(R"(,"version":2)"), "2");
    EXPECT_EQUAL(version_of(R"(,"version":"")"), "");
    // A long name is told from others, and fits a datagram.
    const std::string longest =
        version_of(R"(,"version":")" + std::string(65, 'a') + '"');
    cr_expect(longest.size() <= max_version_bytes);
    cr_expect(longest != version_of(R"(,"version":")" + std::string(66, 'a') + '"'));
}

Test(adapter, detects_a_response_to_another_request)
{
    http_answer_head answer;
    answer.m_status = 200;
    answer.m_fields = {{"Attempt-Id", "9c41"}, {"Response-Signature", "s"}};
    cr_expect(platform::parse_response_metadata(answer, {"9c41"}).m_signed);
    cr_expect(platform::parse_response_metadata(answer, {"9c42"}).m_id_mismatch);
    answer.m_fields.emplace_back("Content-Encoding", "gzip");
    cr_expect(not platform::parse_response_metadata(answer, {"9c41"}).m_signed);
    http_answer_head overloaded;
    overloaded.m_status = 503;
    overloaded.m_fields = {{"Not-Executed", "1"}};
    const auto metadata = platform::parse_response_metadata(overloaded, {"9c41"});
    cr_expect(metadata.m_not_run and not metadata.m_id_mismatch);
}

Test(adapter, a_limit_counts_only_if_it_is_a_plain_number)
{
    const auto limit_of = [](const std::vector<std::string>& values)
    {
        http_fields fields;
        for (const std::string& value : values)
        {
            fields.emplace_back("server-limit", value);
        }
        return platform::read_notice(200, fields);
    };
    using serving::requests_per_s;
    cr_expect(not limit_of({}).m_names_limit);
    cr_expect(limit_of({"2.5"}).m_limit == requests_per_s{2.5});
    cr_expect(limit_of({" 0 "}).m_limit == requests_per_s{0});
    // The lowest of several counts.
    cr_expect(limit_of({"7", "3"}).m_limit == requests_per_s{3});
    cr_expect(limit_of({"7", "many"}).m_limit == requests_per_s{7});
    for (const char* unreadable :
         {"", "-1", "many", "1e308", "nan", "inf", "1,5", "0x10", "1 2", "1.2.3", "."})
    {
        const auto notice = limit_of({unreadable});
        cr_expect(notice.m_names_limit && !notice.m_limit, "%s", unreadable);
    }
}

Test(adapter, an_upstream_says_that_it_leaves_or_declines_requests_for_a_time)
{
    using platform::read_notice;
    cr_expect(read_notice(200, {{"server-leaving", "1"}}).m_leaves);
    cr_expect(not read_notice(200, {{"Server-Leaving", "0"}}).m_leaves);
    const auto time_of = [](unsigned status, const std::string& value)
    {
        return read_notice(status, {{"Retry-After", value}}).m_decline_time;
    };
    cr_expect(time_of(503, "2") == 2000ms);
    cr_expect(time_of(503, "0.2501") == 251ms);
    cr_expect(time_of(503, "999999999999") == 24h);
    // Only a refusal for lack of capacity declines further requests.
    cr_expect(not time_of(200, "2").has_value());
    for (const char* unreadable :
         {"", "-1", "soon", "1e9", "nan", "Fri, 04 Dec 2026 10:00:00 GMT"})
    {
        cr_expect(not time_of(503, unreadable).has_value(), "%s", unreadable);
    }
}

Test(adapter, decoding_pieces_requires_a_result_for_each_piece)
{
    const auto two = platform::decode_pieces(
        R"({"items":[{"handle":"10.0.0.1:80/a"},{"why":"gone"}]})", 2);
    cr_assert(is_ok(two));
    EXPECT_EQUAL(value_of(two)[0].m_handle, "10.0.0.1:80/a");
    EXPECT_EQUAL(value_of(two)[1].m_failure, platform::piece_failure::input_gone);
    cr_expect(not is_ok(platform::decode_pieces(R"({"items":[]})", 1)));
    EXPECT_EQUAL(platform::producer_address("10.0.0.1:80/a"), "10.0.0.1:80");
}

// Guards against a body that its connection ended early, taken for a whole one.
Test(adapter, no_truncated_body_decodes)
{
    const std::string pieces = R"({"items":[{"handle":"10.0.0.1:80/a"}]})";
    const std::string rows =
        R"({"rows":[{"key":"k","value":"bm9kZS0x","ver":412}],"hasMore":false,"ver":530})";
    for (std::size_t size = 0; size < pieces.size(); ++size)
    {
        cr_expect(not is_ok(platform::decode_pieces(pieces.substr(0, size), 1)));
    }
    for (std::size_t size = 0; size < rows.size(); ++size)
    {
        cr_expect(not is_ok(platform::decode_row_page(rows.substr(0, size), {})));
    }
    cr_expect(is_ok(platform::decode_pieces(pieces, 1)));
    cr_expect(is_ok(platform::decode_row_page(rows, {})));
}

Test(adapter, versions_of_a_later_era_are_newer_than_all_of_an_earlier_one)
{
    EXPECT_EQUAL(platform::read_store_era({{"Store-Era", "3"}}), store_era{3});
    for (const char* unusable : {"", "-1", "2x", "99999999999999999999"})
    {
        EXPECT_EQUAL(platform::read_store_era({{"Store-Era", unusable}}), store_era{0});
    }
    const std::string rows = R"({"rows":[{"key":"k","value":"","ver":7}],"ver":9})";
    const auto before = platform::decode_row_page(rows, store_era{1});
    const auto after = platform::decode_row_page(rows, store_era{2});
    cr_assert(is_ok(before) && is_ok(after));
    cr_expect(value_of(after).m_rows[0].m_version > value_of(before).m_version);
    EXPECT_EQUAL(era_of(value_of(after).m_version), store_era{2});
    EXPECT_EQUAL(transaction_of(value_of(after).m_version), 9U);
}

Test(adapter, decodes_rows_and_encodes_transactions)
{
    const auto page = platform::decode_row_page(
        R"({"rows":[{"table":"my","part":"","key":"owner","value":"bm9kZS0x","ver":412},)"
        R"({"key":"gone","removed":true,"ver":413}],"hasMore":true,"ver":530})",
        {});
    cr_assert(is_ok(page));
    EXPECT_EQUAL(value_of(page).m_rows[0].m_value, "node-1");
    EXPECT_EQUAL(value_of(page).m_rows[0].m_version, store_version{412});
    cr_expect(value_of(page).m_rows[1].m_removed);
    cr_expect(value_of(page).m_has_more);
    const std::string written =
        platform::encode_transaction({{"my", "owner", "node-1", false, std::nullopt}});
    cr_expect(written.find("bm9kZS0x") != std::string::npos);
}

// Each decoder returns a value or an error for arbitrary and truncated input.
Test(adapter, decoders_survive_arbitrary_bytes)
{
    const bool holds = rc::check(
        [](const std::string& bytes, std::size_t cut)
        {
            const std::string truncated =
                sample_config.substr(0, cut % sample_config.size());
            for (const std::string& text : {bytes, truncated, sample_entry + bytes})
            {
                platform::decode_configuration(text);
                platform::decode_upstream_entry("i", text);
                platform::decode_row_page(text, {});
                platform::read_store_era({{"Store-Era", text}});
                platform::decode_pieces(text, 3);
                platform::producer_address(text);
                http_request request = sample_request();
                request.m_fields.emplace_back("Pieces", text);
                request.m_target = text;
                platform::parse_request_metadata(request);
                platform::parse_address_query(request);
            }
        });
    cr_expect(holds);
}

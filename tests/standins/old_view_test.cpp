#include "edge_cluster.hpp"

// clang-format off: this header stays last.
#include "testing.hpp"
// clang-format on

using namespace geraniumdoor;
using namespace geraniumdoor::test;
using namespace std::chrono_literals;

namespace
{

http_response read_with_key(edge_cluster& cluster, int host, const std::string& target,
                            const std::string& id, const std::string& key)
{
    http_request request = sample_get(target, id, 1000);
    for (auto& [name, value] : request.m_fields)
    {
        if (name == "Credential")
        {
            value = key;
        }
    }
    return cluster.send_request(host, request, 2s);
}

} // namespace

TestSuite(old_view, .timeout = 60);

// Guards against 404 and 401 for routes and keys that the operator has added since the
// host last knew the store.
Test(old_view, a_host_that_does_not_know_the_store_does_not_deny_what_may_exist)
{
    edge_cluster cluster{29080, 2};
    cluster.add_worker("w1", "plain");
    cluster.set_config(sample_read_route, 5);
    cluster.start();
    const auto status = [&cluster](int host, const std::string& target,
                                   const std::string& id, const std::string& key)
    {
        return read_with_key(cluster, host, target, id, key).m_status;
    };

    // The store answers, and so do all hosts.
    cluster.run_for(500ms);
    for (int host = 0; host < 2; ++host)
    {
        const std::string id = "first" + std::to_string(host);
        EXPECT_EQUAL(status(host, "/read/1", id + "a", "key"), 200U);
        EXPECT_EQUAL(status(host, "/pay/1", id + "b", "key"), 404U);
        EXPECT_EQUAL(status(host, "/read/1", id + "c", "other"), 401U);
    }

    // It is away for longer than a change may take, and the operator may have written.
    cluster.m_store.m_down = true;
    cluster.run_for(3000ms);
    for (int host = 0; host < 2; ++host)
    {
        const std::string id = "away" + std::to_string(host);
        EXPECT_EQUAL(status(host, "/read/1", id + "a", "key"), 200U);
        const auto unknown_route =
            read_with_key(cluster, host, "/pay/1", id + "b", "key");
        EXPECT_EQUAL(unknown_route.m_status, 503U);
        cr_expect(not find_field(unknown_route.m_fields, "Retry-After").empty());
        EXPECT_EQUAL(status(host, "/read/1", id + "c", "other"), 503U);
    }

    // It is back, with what the operator has written.
    cluster.m_store.m_down = false;
    cluster.set_config(sample_routes(), 6);
    cluster.run_for(2000ms);
    for (int host = 0; host < 2; ++host)
    {
        const std::string id = "back" + std::to_string(host);
        EXPECT_EQUAL(cluster.send_request(host, sample_post("/pay/1", id + "a", 1000), 2s)
                         .m_status,
                     200U);
        EXPECT_EQUAL(status(host, "/none/1", id + "b", "key"), 404U);
    }
}

#include "edge_cluster.hpp"

#include <string>
#include <vector>

// clang-format off: this header stays last.
#include "testing.hpp"
// clang-format on

using namespace geraniumdoor;
using namespace geraniumdoor::test;
using namespace std::chrono_literals;

namespace
{

/// Statuses that promise callers that the request has not run. An upstream's 421 is one
/// that it keeps.
constexpr unsigned promising_statuses[]{408, 429, 503};

/// Small, and larger than what is held back of an answer.
constexpr std::size_t body_sizes[]{0, std::size_t{300} * 1024};

/// A host in front of two upstreams of each kind, all of which run requests and answer
/// with a status that says that they have not.
struct refusing_story
{
    explicit refusing_story(std::uint16_t first_port) : m_cluster{first_port, 1}
    {
        for (const char* id : {"w1", "w2"})
        {
            m_cluster.add_worker(id, "plain");
        }
        for (const char* id : {"e1", "e2"})
        {
            m_cluster.add_worker(id, "engine");
        }
        m_cluster.add_worker("s1", "stage");
        m_cluster.set_config(sample_routes(), 1);
        m_cluster.start();
    }

    void refuse(unsigned status, std::size_t body_bytes)
    {
        for (const auto& worker : m_cluster.m_workers)
        {
            if (worker->m_service != "stage")
            {
                worker->m_mode = worker_mode::refuse_after_run;
                worker->m_refusal_status = status;
                worker->m_refusal_bytes = body_bytes;
            }
        }
    }

    int runs_of(const std::string& id) const
    {
        int runs = 0;
        for (const auto& worker : m_cluster.m_workers)
        {
            const auto at = worker->m_runs.find(id);
            runs += at == worker->m_runs.end() ? 0 : at->second;
        }
        return runs;
    }

    edge_cluster m_cluster;
    int m_requests = 0;
};

/// Sends a request while all upstreams refuse after they have run it, with each status
/// and size. Expects that the caller is not told that it has not run.
void expect_no_promise(refusing_story& story, const http_request& sample, int runs)
{
    for (const unsigned status : promising_statuses)
    {
        for (const std::size_t bytes : body_sizes)
        {
            story.refuse(status, bytes);
            http_request request = sample;
            const std::string id = "id" + std::to_string(++story.m_requests);
            request.m_fields[1].second = id;
            const auto answer = story.m_cluster.send_request(0, request, 4s);
            cr_expect(answer.m_status == 502 || answer.m_status == 504,
                      "%s: an upstream's %u became %u", request.m_target.c_str(), status,
                      answer.m_status);
            cr_expect(find_field(answer.m_fields, "Response-Signature").empty());
            EXPECT_EQUAL(story.runs_of(id), runs);
        }
    }
}

} // namespace

// Guards against payments that run twice: an upstream ran one and answered 503, the
// caller took that for the promise that it had not run, and paid once more.
TestSuite(false_refusal, .timeout = 60);

Test(false_refusal, a_payment_that_may_have_run_is_not_answered_as_not_run)
{
    refusing_story story{27500};
    expect_no_promise(story, sample_post("/pay/1", "", 1500), 1);
}

Test(false_refusal, nor_is_a_stream_that_may_not_be_repeated)
{
    refusing_story story{27540};
    expect_no_promise(story, sample_stream("/stream/1", "", 3000), 1);
}

Test(false_refusal, reads_and_streams_go_to_another_upstream_and_are_not_refused_either)
{
    refusing_story story{27580};
    expect_no_promise(story, sample_get("/read/1", "", 1500), 2);
    story.refuse(503, 0);
    story.m_cluster.m_workers[0]->m_mode = worker_mode::normal;
    const auto answer =
        story.m_cluster.send_request(0, sample_get("/read/1", "last", 1500), 2s);
    EXPECT_EQUAL(answer.m_status, 200U);
}

Test(false_refusal, a_refusal_with_the_statement_of_the_upstream_stays_one)
{
    refusing_story story{27620};
    for (const auto& worker : story.m_cluster.m_workers)
    {
        worker->m_mode = worker_mode::decline;
    }
    const auto answer =
        story.m_cluster.send_request(0, sample_post("/pay/1", "id1", 1500), 2s);
    EXPECT_EQUAL(answer.m_status, 503U);
    EXPECT_EQUAL(story.runs_of("id1"), 0);
}

#include "standins.hpp"

#include <stdexcept>

// A worker runs part of its payments and then fails them with status 503, without saying
// that they have not run.

namespace review
{

namespace
{

constexpr int host_count = 3;
constexpr int worker_count = 8;

/// Times since the hosts were ready.
constexpr milliseconds traffic_from{500};
constexpr milliseconds failures_from{3000};
constexpr milliseconds failures_until{9000};
constexpr milliseconds traffic_until{11000};

constexpr milliseconds payment_interval{15};
constexpr milliseconds work_time{90};
constexpr milliseconds consumer_deadline{1000};

/// Of twenty payments, the failing worker fails nine.
constexpr int failure_cycle = 20;
constexpr int failures_per_cycle = 9;

const char* const config =
    R"({"version":3,"routes":[{"name":"pay","host":"pay.example","prefix":"/pay/",)"
    R"("routeType":"non_idempotent","timeoutMs":1000,"targetLatencyMs":150,)"
    R"("priority":2,"maxAttempts":2,"service":"subs"}],"services":[{"name":"subs",)"
    R"("healthPath":"/healthz","maxConnections":100,"coldStartS":0,"coldPerS":0}],)"
    R"("limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,)"
    R"("headerTimeoutMs":5000,"idleTimeoutMs":30000},)"
    R"("tenants":[{"name":"farm","apiKeys":["key-1"],"priority":0}]})";

struct ledger
{
    std::mutex m_mutex;
    std::map<std::string, int> m_runs;
    int m_turn = 0;
};

} // namespace

int refused_run(const setup& place)
{
    record_file record{place.m_case + "/record.txt"};
    const std::string network = find_free_network();
    store table{network + "200", store_port};
    table.put("op", "config", config);
    table.start();
    ledger runs;
    std::atomic<bool> fails{false};
    const auto serve = [&](upstream& self, connection& peer, const message& request)
    {
        const std::string id = field_of(request.m_fields, "Attempt-Id");
        if (field_of(request.m_fields, "Target-Instance") != self.id())
        {
            return peer.respond(421, {{"Not-Executed", "1"}}, "");
        }
        bool is_failure = false;
        {
            const std::lock_guard lock{runs.m_mutex};
            ++runs.m_runs[id];
            if (fails && self.id() == "i-subs-1")
            {
                // Spread evenly, so that the share holds at any time.
                const int before = runs.m_turn * failures_per_cycle / failure_cycle;
                ++runs.m_turn;
                is_failure = runs.m_turn * failures_per_cycle / failure_cycle > before;
            }
        }
        std::this_thread::sleep_for(work_time);
        const unsigned status = is_failure ? 503 : 200;
        record.line("worker " + self.id() + " ran " + id + " and answers " +
                    std::to_string(status));
        return peer.respond(
            status, {{"Attempt-Id", id}, {"Response-Signature", self.id() + "." + id}},
            is_failure ? "the ledger did not answer" : "paid");
    };
    std::vector<std::unique_ptr<upstream>> workers;
    for (int at = 1; at <= worker_count; ++at)
    {
        workers.push_back(
            std::make_unique<upstream>(table, "i-subs-" + std::to_string(at), "subs",
                                       network + std::to_string(100 + at), serve));
        workers.back()->start();
    }
    hosts_of_case hosts{place, network, host_count};
    const milliseconds ready = hosts.wait_until_ready();
    record.line("all hosts are ready");

    std::mutex mutex;
    int payments = 0;
    int refused_and_run = 0;
    std::vector<std::thread> consumers;
    std::uint64_t number = 0;
    for (milliseconds at = traffic_from; at < traffic_until; at += payment_interval)
    {
        sleep_until(ready + at);
        fails = place.m_trouble && at >= failures_from && at < failures_until;
        const std::string ip = hosts.ip_of(++number);
        consumers.emplace_back(
            [&, ip, number]
            {
                message request;
                request.m_method = "POST";
                request.m_target = "/pay/" + std::to_string(number);
                request.m_body = "a renewal";
                const std::string id = make_id(number);
                request.m_fields = {
                    {"Host", "pay.example"},
                    {"Attempt-Id", id},
                    {"Deadline-Ms", std::to_string(consumer_deadline.count())},
                    {"Credential", "key-1"}};
                const answer seen = call(ip, request, consumer_deadline);
                record.line("answer to " + id + " from " + ip + ": status " +
                            std::to_string(seen.m_status));
                const bool is_refusal = seen.m_status == 429 || seen.m_status == 503 ||
                                        seen.m_status == 408 || seen.m_status == 421;
                const std::lock_guard lock{mutex};
                ++payments;
                const std::lock_guard runs_lock{runs.m_mutex};
                refused_and_run += is_refusal && runs.m_runs.contains(id) ? 1 : 0;
            });
    }
    for (std::thread& consumer : consumers)
    {
        consumer.join();
    }
    hosts.stop();
    workers.clear();
    table.stop();
    record.line(std::to_string(payments) + " payments, " +
                std::to_string(refused_and_run) +
                " answered with a status that says not run, though they had run; one "
                "breaks REFUSED");
    return refused_and_run > 0 ? 1 : 0;
}

} // namespace review

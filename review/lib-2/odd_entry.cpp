#include "standins.hpp"

// Another writer overwrites the registry entry of a worker with one that lacks fields and
// names another service.

namespace review
{

namespace
{

constexpr int host_count = 3;
constexpr int payment_workers = 3;
constexpr int stock_workers = 2;

/// Times since the hosts were ready.
constexpr milliseconds traffic_from{500};
constexpr milliseconds entries_from{4000};
/// Not a multiple of the heartbeat, after which the worker's own entry is back.
constexpr milliseconds entry_interval{700};
constexpr int entry_count = 3;
constexpr milliseconds traffic_until{9000};

constexpr milliseconds payment_interval{20};
constexpr milliseconds work_time{30};
constexpr milliseconds consumer_deadline{1000};

const char* const config =
    R"({"version":3,"routes":[{"name":"pay","host":"pay.example","prefix":"/pay/",)"
    R"("routeType":"non_idempotent","timeoutMs":1000,"targetLatencyMs":150,)"
    R"("priority":2,"maxAttempts":2,"service":"subs"},)"
    R"({"name":"stock","host":"stock.example","prefix":"/stock/",)"
    R"("routeType":"idempotent","timeoutMs":1000,"targetLatencyMs":150,)"
    R"("priority":2,"maxAttempts":2,"service":"depot"}],"services":[{"name":"subs",)"
    R"("healthPath":"/healthz","maxConnections":100,"coldStartS":0,"coldPerS":0},)"
    R"({"name":"depot","healthPath":"/healthz","maxConnections":100,"coldStartS":0,)"
    R"("coldPerS":0}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,)"
    R"("headerTimeoutMs":5000,"idleTimeoutMs":30000},)"
    R"("tenants":[{"name":"farm","apiKeys":["key-1"],"priority":0}]})";

} // namespace

int odd_entry(const setup& place)
{
    record_file record{place.m_case + "/record.txt"};
    const std::string network = find_free_network();
    store table{network + "200", store_port};
    table.put("op", "config", config);
    table.start();
    std::atomic<int> foreign{0};
    const auto serve = [&](upstream& self, connection& peer, const message& request)
    {
        const std::string id = field_of(request.m_fields, "Attempt-Id");
        if (field_of(request.m_fields, "Target-Instance") != self.id())
        {
            return peer.respond(421, {{"Not-Executed", "1"}}, "");
        }
        const bool is_payment = request.m_target.starts_with("/pay/");
        const bool is_foreign = is_payment && self.id().starts_with("i-depot");
        foreign += is_foreign ? 1 : 0;
        record.line("worker " + self.id() + " runs " + request.m_target + " " + id +
                    (is_foreign ? ", of another service" : ""));
        std::this_thread::sleep_for(work_time);
        return peer.respond(
            200, {{"Attempt-Id", id}, {"Response-Signature", self.id() + "." + id}},
            "done");
    };
    std::vector<std::unique_ptr<upstream>> workers;
    const auto add = [&](const std::string& service, int number, int host)
    {
        workers.push_back(std::make_unique<upstream>(
            table, "i-" + service + "-" + std::to_string(number), service,
            network + std::to_string(host), serve));
        workers.back()->start();
    };
    for (int at = 1; at <= payment_workers; ++at)
    {
        add("subs", at, 100 + at);
    }
    for (int at = 1; at <= stock_workers; ++at)
    {
        add("depot", at, 120 + at);
    }
    hosts_of_case hosts{place, network, host_count};
    const milliseconds ready = hosts.wait_until_ready();
    record.line("all hosts are ready");

    std::vector<std::thread> consumers;
    std::uint64_t number = 0;
    int written = place.m_trouble ? 0 : entry_count;
    for (milliseconds at = traffic_from; at < traffic_until; at += payment_interval)
    {
        sleep_until(ready + at);
        if (written < entry_count && at >= entries_from + written * entry_interval)
        {
            ++written;
            const std::string entry =
                R"({"service":"subs","address":")" + network +
                "121:" + std::to_string(upstream_port) +
                R"(","zone":"zone-a","maxConcurrency":6,"state":"ready"})";
            table.put("servers", "i-depot-1", entry);
            record.line("another writer writes servers/i-depot-1: " + entry);
        }
        const std::string ip = hosts.ip_of(++number);
        consumers.emplace_back(
            [&record, ip, number]
            {
                const bool is_payment = number % 2 == 0;
                const std::string id = make_id(number);
                message request;
                request.m_method = is_payment ? "POST" : "GET";
                request.m_target =
                    (is_payment ? "/pay/" : "/stock/") + std::to_string(number);
                request.m_body = is_payment ? "a renewal" : "";
                request.m_fields = {
                    {"Host", is_payment ? "pay.example" : "stock.example"},
                    {"Attempt-Id", id},
                    {"Deadline-Ms", std::to_string(consumer_deadline.count())},
                    {"Credential", "key-1"}};
                const answer seen = call(ip, request, consumer_deadline);
                record.line("answer to " + id + " from " + ip + ": status " +
                            std::to_string(seen.m_status));
            });
    }
    for (std::thread& consumer : consumers)
    {
        consumer.join();
    }
    hosts.stop();
    workers.clear();
    table.stop();
    record.line(std::to_string(number) + " requests, " + std::to_string(foreign) +
                " payments run by a service to which no route leads them; one breaks "
                "ROUTE");
    return foreign > 0 ? 1 : 0;
}

} // namespace review

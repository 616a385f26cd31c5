#include "standins.hpp"

// A worker in trouble sends part of its answers in a transfer coding that nobody asked
// for.

namespace review
{

namespace
{

constexpr int host_count = 3;
constexpr int worker_count = 4;

/// Times since the hosts were ready.
constexpr milliseconds traffic_from{500};
constexpr milliseconds spoiled_from{3000};
constexpr milliseconds spoiled_until{8000};
constexpr milliseconds traffic_until{10000};

constexpr milliseconds request_interval{15};
constexpr milliseconds work_time{90};
constexpr milliseconds consumer_deadline{1000};

/// One of this number of answers of a faulty worker is spoiled.
constexpr int spoiled_period = 34;

const char* const config =
    R"({"version":3,"routes":[{"name":"pay","host":"pay.example","prefix":"/pay/",)"
    R"("routeType":"non_idempotent","timeoutMs":1000,"targetLatencyMs":150,)"
    R"("priority":2,"maxAttempts":2,"service":"subs"}],"services":[{"name":"subs",)"
    R"("healthPath":"/healthz","maxConnections":100,"coldStartS":0,"coldPerS":0}],)"
    R"("limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,)"
    R"("headerTimeoutMs":5000,"idleTimeoutMs":30000},)"
    R"("tenants":[{"name":"farm","apiKeys":["key-1"],"priority":0}]})";

std::uint32_t checksum(const std::string& bytes)
{
    std::uint32_t sum = 0xffffffffU;
    for (const char byte : bytes)
    {
        sum ^= static_cast<unsigned char>(byte);
        for (int bit = 0; bit < 8; ++bit)
        {
            sum = (sum >> 1U) ^ ((sum & 1U) != 0 ? 0xedb88320U : 0U);
        }
    }
    return ~sum;
}

/// Text in the gzip format, as one stored block.
std::string gzip(const std::string& text)
{
    std::string bytes{"\x1f\x8b\x08\0\0\0\0\0\0\xff\x01", 11};
    const auto add = [&bytes](std::uint32_t value, int size)
    {
        for (int at = 0; at < size; ++at)
        {
            bytes +=
                static_cast<char>((value >> (8U * static_cast<unsigned>(at))) & 255U);
        }
    };
    const auto length = static_cast<std::uint32_t>(text.size());
    add(length, 2);
    add(~length, 2);
    bytes += text;
    add(checksum(text), 4);
    add(length, 4);
    return bytes;
}

} // namespace

int coded_answer(const setup& place)
{
    record_file record{place.m_case + "/record.txt"};
    const std::string network = find_free_network();
    store table{network + "200", store_port};
    table.put("op", "config", config);
    table.start();
    std::atomic<bool> spoils{false};
    std::atomic<int> turn{0};
    const auto serve = [&](upstream& self, connection& peer, const message& request)
    {
        const std::string id = field_of(request.m_fields, "Attempt-Id");
        if (field_of(request.m_fields, "Target-Instance") != self.id())
        {
            return peer.respond(421, {{"Not-Executed", "1"}}, "");
        }
        std::this_thread::sleep_for(work_time);
        const std::string body = "paid " + id;
        const fields proof{{"Attempt-Id", id},
                           {"Response-Signature", self.id() + "." + id}};
        const bool is_faulty = self.id() == "i-subs-1" || self.id() == "i-subs-2";
        if (!spoils || !is_faulty || ++turn % spoiled_period != 0)
        {
            return peer.respond(200, proof, body);
        }
        record.line("worker " + self.id() + " answers " + id +
                    " with Transfer-Encoding: gzip, chunked");
        const std::string coded = gzip(body);
        char size[16];
        std::snprintf(size, sizeof size, "%zx\r\n", coded.size());
        return peer.write("HTTP/1.1 200 OK\r\nAttempt-Id: " + id +
                          "\r\nResponse-Signature: " + self.id() + "." + id +
                          "\r\nTransfer-Encoding: gzip, chunked\r\n\r\n" + size + coded +
                          "\r\n0\r\n\r\n");
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
    int successes = 0;
    int foreign = 0;
    std::vector<std::thread> consumers;
    std::uint64_t number = 0;
    for (milliseconds at = traffic_from; at < traffic_until; at += request_interval)
    {
        sleep_until(ready + at);
        spoils = place.m_trouble && at >= spoiled_from && at < spoiled_until;
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
                const bool is_success = seen.m_status == 200 && seen.m_complete;
                const bool is_coded =
                    !field_of(seen.m_fields, "Transfer-Encoding").empty();
                const bool is_body = seen.m_body == "paid " + id;
                record.line("answer to " + id + " from " + ip + ": status " +
                            std::to_string(seen.m_status) + ", " +
                            std::to_string(seen.m_body.size()) + " bytes" +
                            (is_coded ? ", coded" : "") +
                            (is_body ? "" : ", not the worker's body"));
                const std::lock_guard lock{mutex};
                successes += is_success ? 1 : 0;
                foreign += is_success && !is_body && !is_coded ? 1 : 0;
            });
    }
    for (std::thread& consumer : consumers)
    {
        consumer.join();
    }
    hosts.stop();
    workers.clear();
    table.stop();
    record.line(std::to_string(successes) + " successes, " + std::to_string(foreign) +
                " with a body that is not the worker's; one breaks MIXED");
    return foreign > 0 ? 1 : 0;
}

} // namespace review

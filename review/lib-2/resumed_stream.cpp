#include "standins.hpp"

#include <algorithm>
#include <filesystem>
#include <random>
#include <stdexcept>

// An engine crashes and is back under its id with another software version while the
// store is silent; streams that it begins then break off when it crashes again.

namespace review
{

namespace
{

constexpr int host_count = 3;
constexpr int engine_count = 6;

/// Times since the hosts were ready.
constexpr milliseconds traffic_from{500};
constexpr milliseconds silent_from{5000};
constexpr milliseconds silent_until{12800};
constexpr milliseconds second_return{13100};
constexpr milliseconds traffic_until{18000};

struct story
{
    milliseconds m_first_crash;
    milliseconds m_first_return;
    milliseconds m_second_crash;
    /// Consumers send no requests in between.
    milliseconds m_lull_from;
    milliseconds m_lull_until;
};

/// The engine has streams when it ends for the first time.
constexpr story busy_story{milliseconds{5500}, milliseconds{7000}, milliseconds{11600},
                           milliseconds{0}, milliseconds{0}};

/// It has none, and no connection.
constexpr story idle_story{milliseconds{8200}, milliseconds{8700}, milliseconds{12300},
                           milliseconds{4500}, milliseconds{9000}};

constexpr milliseconds stream_interval{45};
constexpr int events_per_stream = 20;
constexpr milliseconds event_interval{150};
constexpr milliseconds consumer_deadline{8000};

const char* const config =
    R"({"version":3,"routes":[{"name":"note","host":"notes.example","prefix":"/note/",)"
    R"("routeType":"streaming","streamResume":true,"stickySessions":true,)"
    R"("timeoutMs":10000,"targetLatencyMs":1700,"gapAimMs":600,"priority":1,)"
    R"("maxAttempts":3,"service":"pool"}],"services":[{"name":"pool",)"
    R"("healthPath":"/healthz","maxConnections":360,"coldStartS":0,"coldPerS":0,)"
    R"("engine":{"maxConcurrency":64,"kvTokens":499130}}],)"
    R"("limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,)"
    R"("headerTimeoutMs":5000,"idleTimeoutMs":30000},)"
    R"("tenants":[{"name":"farm","apiKeys":["key-1"],"priority":0}]})";

/// Serves a stream from the event after Last-Event-Id.
bool serve_stream(upstream& self, connection& peer, const message& request,
                  record_file& record)
{
    const std::string id = field_of(request.m_fields, "Attempt-Id");
    const std::string last = field_of(request.m_fields, "Last-Event-Id");
    if (field_of(request.m_fields, "Target-Instance") != self.id())
    {
        return peer.respond(421, {{"Not-Executed", "1"}}, "");
    }
    const std::uint64_t start = self.start_number();
    const std::string version = self.version();
    record.line("engine " + self.id() + " of version " + version + " runs " + id +
                (last.empty() ? "" : " after event " + last));
    bool open = peer.write("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                           "Attempt-Id: " +
                           id + "\r\nResponse-Signature: " + self.id() + "." + id +
                           "\r\nTransfer-Encoding: chunked\r\n\r\n");
    for (int event = last.empty() ? 1 : std::stoi(last) + 1;
         open && event <= events_per_stream; ++event)
    {
        std::this_thread::sleep_for(event_interval);
        const std::string text = "id: " + std::to_string(event) + "\ndata: " + version +
                                 " " + self.id() + "\n\n";
        char size[16];
        std::snprintf(size, sizeof size, "%zx\r\n", text.size());
        open = self.is_running(start) && !peer.peer_gone() &&
               peer.write(size + text + "\r\n");
    }
    return open && peer.write("0\r\n\r\n");
}

/// Software versions of the events of an answer, in order, each once per change.
std::vector<std::string> versions_of(const std::string& body)
{
    std::vector<std::string> versions;
    for (std::size_t at = body.find("data: "); at != std::string::npos;
         at = body.find("data: ", at + 1))
    {
        const std::size_t from = at + 6;
        const std::string version = body.substr(from, body.find(' ', from) - from);
        if (versions.empty() || versions.back() != version)
        {
            versions.push_back(version);
        }
    }
    return versions;
}

message stream_request(std::uint64_t number, const std::string& id)
{
    constexpr std::uint64_t subjects = 24;
    const std::string shared = make_id(1'000'000 + number % subjects).substr(0, 8);
    const std::string own = make_id(2'000'000 + number).substr(0, 8);
    message request;
    request.m_method = "POST";
    request.m_target = "/note/" + std::to_string(number);
    request.m_body = "a note";
    request.m_fields = {{"Host", "notes.example"},
                        {"Attempt-Id", id},
                        {"Model", "m"},
                        {"Token-Usage", "1460,100"},
                        {"Prompt-Prefix", shared + ":350," + own + ":1110"},
                        {"Deadline-Ms", std::to_string(consumer_deadline.count())},
                        {"Credential", "key-1"}};
    return request;
}

struct tally
{
    std::mutex m_mutex;
    int m_streams = 0;
    int m_complete = 0;
    int m_joined = 0;
};

void consume(const std::string& ip, std::uint64_t number, record_file& record,
             tally& count)
{
    const std::string id = make_id(number);
    const answer seen = call(ip, stream_request(number, id), consumer_deadline);
    const auto versions = versions_of(seen.m_body);
    std::string text;
    for (const std::string& version : versions)
    {
        text += text.empty() ? version : ", then " + version;
    }
    record.line("answer to " + id + " from " + ip + ": status " +
                std::to_string(seen.m_status) +
                (seen.m_complete ? ", complete" : ", broken off") + ", versions " + text);
    const std::lock_guard lock{count.m_mutex};
    ++count.m_streams;
    count.m_complete += seen.m_complete ? 1 : 0;
    count.m_joined += versions.size() > 1 ? 1 : 0;
}

int play(const setup& place, const story& times)
{
    record_file record{place.m_case + "/record.txt"};
    const std::string network = find_free_network();
    store table{network + "200", store_port};
    table.put("op", "config", config);
    table.start();
    std::vector<std::unique_ptr<upstream>> engines;
    for (int at = 1; at <= engine_count; ++at)
    {
        engines.push_back(std::make_unique<upstream>(
            table, "i-engine-" + std::to_string(at), "pool",
            network + std::to_string(100 + at),
            [&record](upstream& self, connection& peer, const message& request)
            {
                return serve_stream(self, peer, request, record);
            }));
        engines.back()->start();
    }
    hosts_of_case hosts{place, network, host_count};
    const milliseconds ready = hosts.wait_until_ready();
    record.line("all hosts are ready");

    tally count;
    std::thread traffic{[&]
                        {
                            std::vector<std::thread> consumers;
                            std::uint64_t number = 0;
                            for (milliseconds at = traffic_from; at < traffic_until;
                                 at += stream_interval)
                            {
                                if (at >= times.m_lull_from && at < times.m_lull_until)
                                {
                                    continue;
                                }
                                sleep_until(ready + at);
                                const std::string& ip = hosts.ip_of(++number);
                                consumers.emplace_back(
                                    [&record, &count, ip, number]
                                    {
                                        consume(ip, number, record, count);
                                    });
                            }
                            for (std::thread& consumer : consumers)
                            {
                                consumer.join();
                            }
                        }};

    if (place.m_trouble)
    {
        upstream& engine = *engines.front();
        sleep_until(ready + silent_from);
        table.set_silent(true);
        record.line("the store is silent");
        sleep_until(ready + times.m_first_crash);
        engine.crash();
        record.line(engine.id() + " crashes");
        sleep_until(ready + times.m_first_return);
        engine.set_version("8");
        engine.start();
        record.line(engine.id() + " is back with software version 8");
        sleep_until(ready + times.m_second_crash);
        engine.crash();
        record.line(engine.id() + " crashes");
        sleep_until(ready + silent_until);
        table.set_silent(false);
        record.line("the store is back");
        sleep_until(ready + second_return);
        engine.start();
        record.line(engine.id() + " is back");
    }
    traffic.join();
    hosts.stop();
    engines.clear();
    table.stop();
    record.line(std::to_string(count.m_streams) + " streams, " +
                std::to_string(count.m_complete) + " complete, " +
                std::to_string(count.m_joined) +
                " with events of two software versions; more than 2 break ORDER");
    constexpr int allowed = 2;
    return count.m_joined > allowed ? 1 : 0;
}

} // namespace

int resumed_stream(const setup& place)
{
    return play(place, busy_story);
}

int idle_restart(const setup& place)
{
    return play(place, idle_story);
}

} // namespace review

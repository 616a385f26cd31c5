#include "silence_story.hpp"

#include <algorithm>
#include <map>
#include <sstream>
#include <tuple>

// clang-format off: this header stays last.
#include "testing.hpp"
// clang-format on

namespace geraniumdoor::test
{

namespace
{

/// Callers of streams wait for four latency targets of 1 s, and others for their
/// deadline.
constexpr milliseconds caller_patience{4000};
constexpr int deadline_ms = 6000;
constexpr milliseconds max_side_by_side{400};

bool is_stream(request_kind kind)
{
    return kind == request_kind::resumable_stream || kind == request_kind::stream;
}

const char* to_text(request_kind kind)
{
    switch (kind)
    {
    case request_kind::resumable_stream:
        return "resumable stream";
    case request_kind::stream:
        return "stream";
    case request_kind::read:
        return "read";
    case request_kind::payment:
        return "payment";
    }
    return "unknown";
}

const char* to_text(silence_phase phase)
{
    switch (phase)
    {
    case silence_phase::before_head:
        return "before the head";
    case silence_phase::before_first_event:
        return "before the first event";
    case silence_phase::between_events:
        return "between events";
    case silence_phase::inside_event:
        return "inside an event";
    case silence_phase::inside_body:
        return "inside a body";
    case silence_phase::in_stage:
        return "in a stage";
    case silence_phase::in_release:
        return "in a release";
    }
    return "unknown";
}

std::string path_of(request_kind kind, const std::string& id)
{
    switch (kind)
    {
    case request_kind::resumable_stream:
        return "/resume/" + id;
    case request_kind::stream:
        return "/stream/" + id;
    case request_kind::read:
        return "/read/" + id;
    case request_kind::payment:
        return "/pay/" + id;
    }
    return {};
}

http_request make_request(request_kind kind, const std::string& id)
{
    const std::string path = path_of(kind, id);
    if (kind == request_kind::read)
    {
        return sample_get(path, id, deadline_ms);
    }
    if (kind == request_kind::payment)
    {
        return sample_post(path, id, deadline_ms);
    }
    http_request request = sample_stream(path, id, deadline_ms);
    for (auto& [name, value] : request.m_fields)
    {
        if (name == "Prompt-Prefix")
        {
            // Its own prompt, so that streams begin at all engines.
            value = id + "a:80," + id + "b:20";
        }
    }
    return request;
}

bool is_whole(const silent_request& request, const std::string& body)
{
    if (request.m_phase == silence_phase::inside_body)
    {
        return body == large_document();
    }
    if (is_stream(request.m_kind))
    {
        return body == "id: 1\ndata: 1\n\nid: 2\ndata: 2\n\n"
                       "id: 3\ndata: 3\n\nid: 4\ndata: 4\n\n";
    }
    const std::string sent = request.m_kind == request_kind::payment ? "body" : "";
    return body.ends_with(':' + path_of(request.m_kind, request.m_id) + ':' + sent);
}

bool ran_side_by_side(const std::vector<std::shared_ptr<observed_run>>& runs)
{
    const time_point now = std::chrono::steady_clock::now();
    for (std::size_t first = 0; first < runs.size(); ++first)
    {
        for (std::size_t second = first + 1; second < runs.size(); ++second)
        {
            const time_point end = std::min(runs[first]->m_ended.value_or(now),
                                            runs[second]->m_ended.value_or(now));
            if (end - runs[second]->m_began > max_side_by_side)
            {
                return true;
            }
        }
    }
    return false;
}

} // namespace

const char* const silence_read_route =
    R"({"name":"read","host":"a.example","prefix":"/read/","routeType":"idempotent",)"
    R"("timeoutMs":6000,"targetLatencyMs":1000,"service":"plain","maxAttempts":2})";
const char* const silence_pay_route =
    R"({"name":"pay","host":"a.example","prefix":"/pay/","routeType":"non_idempotent",)"
    R"("timeoutMs":6000,"targetLatencyMs":1000,"service":"plain","maxAttempts":1})";
const char* const silence_stream_route =
    R"({"name":"stream","host":"a.example","prefix":"/stream/","routeType":"streaming",)"
    R"("timeoutMs":6000,"targetLatencyMs":1000,"service":"engine","maxAttempts":1,)"
    R"("gapAimMs":300,"stages":[{"service":"stage","after":[],"bytes":8000}]})";
const char* const silence_resume_route =
    R"({"name":"resume","host":"a.example","prefix":"/resume/","routeType":"streaming",)"
    R"("timeoutMs":6000,"targetLatencyMs":1000,"service":"engine","maxAttempts":2,)"
    R"("streamResume":true,"gapAimMs":300,)"
    R"("stages":[{"service":"stage","after":[],"bytes":8000}]})";

std::string silence_routes()
{
    return std::string{silence_read_route} + ',' + silence_pay_route + ',' +
           silence_stream_route + ',' + silence_resume_route;
}

silence_story::silence_story(std::uint16_t first_port, int hosts, int engines, int plain)
    : m_cluster{first_port, hosts}, m_hosts{hosts}
{
    add_upstream("s0", "stage");
    for (int at = 0; at < engines; ++at)
    {
        m_engines.push_back(&add_upstream("e" + std::to_string(at), "engine"));
    }
    for (int at = 0; at < plain; ++at)
    {
        add_upstream("p" + std::to_string(at), "plain");
    }
    m_cluster.set_config(silence_routes(), 1);
}

worker_standin& silence_story::add_upstream(const std::string& id,
                                            const std::string& pool,
                                            const std::string& version)
{
    worker_standin& worker = m_cluster.add_worker(id, pool, version);
    worker.m_ledger = m_ledger;
    return worker;
}

void silence_story::start()
{
    m_cluster.start();
}

void silence_story::send(request_kind kind, silence_phase phase, milliseconds silence,
                         int times)
{
    const int number = static_cast<int>(m_requests.size());
    silent_request request;
    request.m_kind = kind;
    request.m_phase = phase;
    request.m_silence = silence;
    request.m_id = "q" + std::to_string(number) + "z";
    m_ledger->m_silences.m_planned[request.m_id] = {phase, silence, times};
    // Callers measure the gap between events; here, all but the silence takes little.
    const milliseconds patience =
        is_stream(kind) ? caller_patience : milliseconds{deadline_ms};
    request.m_answer = m_cluster.start_request(
        number % m_hosts, make_request(kind, request.m_id), patience);
    m_requests.push_back(std::move(request));
}

void silence_story::send_each_phase(request_kind kind, milliseconds silence)
{
    send(kind, silence_phase::before_head, silence);
    send(kind, silence_phase::inside_body, silence);
    if (is_stream(kind))
    {
        send(kind, silence_phase::before_first_event, silence);
        send(kind, silence_phase::between_events, silence);
        send(kind, silence_phase::inside_event, silence);
    }
}

void silence_story::run_until_running()
{
    const time_point last = std::chrono::steady_clock::now() + milliseconds{deadline_ms};
    const auto runs = [this](const silent_request& request)
    {
        return m_ledger->m_silences.m_runs.contains(request.m_id);
    };
    while (std::chrono::steady_clock::now() < last &&
           !std::all_of(m_requests.begin(), m_requests.end(), runs))
    {
        m_cluster.run_for(milliseconds{10});
    }
}

void silence_story::run_until_answered()
{
    const time_point last =
        std::chrono::steady_clock::now() + milliseconds{deadline_ms + 500};
    const auto answered = [](const silent_request& request)
    {
        return request.m_answer->has_value();
    };
    while (std::chrono::steady_clock::now() < last &&
           !std::all_of(m_requests.begin(), m_requests.end(), answered))
    {
        m_cluster.run_for(milliseconds{20});
    }
}

void silence_story::add_to(silence_count& count, const silent_request& request) const
{
    ++count.m_sent;
    const auto& answer = *request.m_answer;
    const unsigned status = answer ? answer->m_status : 0;
    count.m_cut_off += status == 0 ? 1 : 0;
    count.m_refused += status == 429 || status == 503 ? 1 : 0;
    count.m_failed += status != 0 && status != 200 && status != 429 && status != 503;
    count.m_wrong += status == 200 && !is_whole(request, answer->m_body) ? 1 : 0;
    count.m_silent += m_ledger->m_silences.m_silent_calls.count(request.m_id);
    const auto runs = m_ledger->m_silences.m_runs.find(request.m_id);
    if (runs == m_ledger->m_silences.m_runs.end())
    {
        return;
    }
    count.m_silent += std::any_of(runs->second.begin(), runs->second.end(),
                                  [](const auto& run)
                                  {
                                      return run->m_met_silence;
                                  });
    count.m_extra_runs += runs->second.size() - 1;
    count.m_side_by_side += ran_side_by_side(runs->second) ? 1 : 0;
}

silence_count
silence_story::count(const std::function<bool(const silent_request&)>& selects) const
{
    silence_count counted;
    for (const silent_request& request : m_requests)
    {
        if (selects(request))
        {
            add_to(counted, request);
        }
    }
    return counted;
}

silence_count silence_story::count_all() const
{
    return count(
        [](const silent_request&)
        {
            return true;
        });
}

silence_count silence_story::count_resumable() const
{
    return count(
        [](const silent_request& request)
        {
            return request.m_kind == request_kind::resumable_stream &&
                   request.m_silence <= milliseconds{1600};
        });
}

std::string silence_story::describe() const
{
    std::map<std::tuple<request_kind, silence_phase, milliseconds>, silence_count> groups;
    for (const silent_request& request : m_requests)
    {
        add_to(groups[{request.m_kind, request.m_phase, request.m_silence}], request);
    }
    std::ostringstream text;
    for (const auto& [group, numbers] : groups)
    {
        if (numbers.lost() + numbers.m_extra_runs + numbers.m_side_by_side == 0)
        {
            continue;
        }
        const auto& [kind, phase, silence] = group;
        text << "\n  " << to_text(kind) << ", " << to_text(phase) << ", "
             << silence.count() << " ms: " << numbers.m_sent << " sent, "
             << numbers.m_silent << " met a silence, " << numbers.m_cut_off
             << " cut off, " << numbers.m_failed << " failed, " << numbers.m_refused
             << " refused, " << numbers.m_wrong << " with other bytes, "
             << numbers.m_extra_runs << " extra runs, " << numbers.m_side_by_side
             << " side by side";
    }
    return text.str();
}

void silence_story::expect_nothing_lost() const
{
    const silence_count all = count_all();
    cr_expect(all.m_silent == all.m_sent, "%zu of %zu requests met a silence",
              all.m_silent, all.m_sent);
    cr_expect(all.lost() == 0, "%zu of %zu requests lost:%s", all.lost(), all.m_sent,
              describe().c_str());
    cr_expect(all.m_side_by_side == 0, "%zu of %zu requests ran side by side:%s",
              all.m_side_by_side, all.m_sent, describe().c_str());
}

void silence_story::expect_few_extra_runs() const
{
    const silence_count streams = count_resumable();
    cr_expect(streams.m_extra_runs * 10 <= streams.m_silent,
              "%zu extra runs of %zu resumable streams that met a silence of up to "
              "1.6 s:%s",
              streams.m_extra_runs, streams.m_silent, describe().c_str());
}

} // namespace geraniumdoor::test

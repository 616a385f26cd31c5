#include "standins.hpp"

#include <algorithm>
#include <cerrno>
#include <csignal>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <stdexcept>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <strings.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review
{

namespace json = boost::json;

namespace
{

const clock::time_point begin = clock::now();

sockaddr_in address_of(const std::string& ip, std::uint16_t port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    ::inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    return address;
}

int connect_to(const std::string& ip, std::uint16_t port)
{
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in address = address_of(ip, port);
    if (::connect(socket, reinterpret_cast<const sockaddr*>(&address), sizeof address) !=
        0)
    {
        ::close(socket);
        return -1;
    }
    const int on = 1;
    ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    return socket;
}

bool write_all(int socket, const std::string& bytes)
{
    std::size_t sent = 0;
    while (sent < bytes.size())
    {
        const ssize_t size =
            ::send(socket, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (size <= 0)
        {
            return false;
        }
        sent += static_cast<std::size_t>(size);
    }
    return true;
}

/// Appends what has arrived. Returns false at the end or after the limit.
bool read_some(int socket, std::string& buffer, clock::time_point limit)
{
    const auto left = std::chrono::ceil<milliseconds>(limit - clock::now()).count();
    pollfd wanted{socket, POLLIN, 0};
    if (left <= 0 || ::poll(&wanted, 1, static_cast<int>(left)) <= 0)
    {
        return false;
    }
    char bytes[16384];
    const ssize_t size = ::recv(socket, bytes, sizeof bytes, 0);
    if (size <= 0)
    {
        return false;
    }
    buffer.append(bytes, static_cast<std::size_t>(size));
    return true;
}

/// Reads a head up to the empty line and parses its fields. Returns its first line.
std::string read_head(int socket, std::string& buffer, fields& list,
                      clock::time_point limit)
{
    std::size_t end = buffer.find("\r\n\r\n");
    while (end == std::string::npos)
    {
        if (!read_some(socket, buffer, limit))
        {
            return {};
        }
        end = buffer.find("\r\n\r\n");
    }
    const std::string head = buffer.substr(0, end + 2);
    buffer.erase(0, end + 4);
    const std::size_t first = head.find("\r\n");
    for (std::size_t at = first + 2; at < head.size();)
    {
        const std::size_t stop = head.find("\r\n", at);
        const std::string line = head.substr(at, stop - at);
        const std::size_t colon = line.find(':');
        const std::size_t start = line.find_first_not_of(' ', colon + 1);
        list.emplace_back(line.substr(0, colon),
                          start == std::string::npos ? "" : line.substr(start));
        at = stop + 2;
    }
    return head.substr(0, first);
}

bool read_size(int socket, std::string& buffer, std::size_t size, std::string& body,
               clock::time_point limit)
{
    while (buffer.size() < size)
    {
        if (!read_some(socket, buffer, limit))
        {
            body += buffer;
            return false;
        }
    }
    body += buffer.substr(0, size);
    buffer.erase(0, size);
    return true;
}

bool read_chunks(int socket, std::string& buffer, std::string& body,
                 clock::time_point limit)
{
    while (true)
    {
        std::size_t end = buffer.find("\r\n");
        while (end == std::string::npos)
        {
            if (!read_some(socket, buffer, limit))
            {
                return false;
            }
            end = buffer.find("\r\n");
        }
        const std::size_t size = std::stoul(buffer.substr(0, end), nullptr, 16);
        buffer.erase(0, end + 2);
        std::string line_end;
        if (!read_size(socket, buffer, size, body, limit) ||
            !read_size(socket, buffer, 2, line_end, limit))
        {
            return false;
        }
        if (size == 0)
        {
            return true;
        }
    }
}

std::string encode(const std::string& bytes)
{
    static const char* const digits =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    std::uint32_t bits = 0;
    int held = 0;
    for (const char byte : bytes)
    {
        bits = (bits << 8U) | static_cast<unsigned char>(byte);
        held += 8;
        while (held >= 6)
        {
            held -= 6;
            text += digits[(bits >> static_cast<unsigned>(held)) & 63U];
        }
    }
    if (held > 0)
    {
        text += digits[(bits << static_cast<unsigned>(6 - held)) & 63U];
    }
    text.append((4 - text.size() % 4) % 4, '=');
    return text;
}

std::string decode(const std::string& text)
{
    std::string bytes;
    std::uint32_t bits = 0;
    int held = 0;
    for (const char digit : text)
    {
        std::uint32_t value = 0;
        if (digit >= 'A' && digit <= 'Z')
        {
            value = static_cast<std::uint32_t>(digit - 'A');
        }
        else if (digit >= 'a' && digit <= 'z')
        {
            value = static_cast<std::uint32_t>(digit - 'a') + 26;
        }
        else if (digit >= '0' && digit <= '9')
        {
            value = static_cast<std::uint32_t>(digit - '0') + 52;
        }
        else if (digit == '+' || digit == '/')
        {
            value = digit == '+' ? 62 : 63;
        }
        else
        {
            break;
        }
        bits = (bits << 6U) | value;
        held += 6;
        if (held >= 8)
        {
            held -= 8;
            bytes += static_cast<char>((bits >> static_cast<unsigned>(held)) & 255U);
        }
    }
    return bytes;
}

std::string query_value(const std::string& target, const std::string& name)
{
    std::size_t at = target.find('?');
    while (at != std::string::npos)
    {
        const std::size_t end = target.find('&', at + 1);
        const std::string pair = target.substr(
            at + 1, end == std::string::npos ? std::string::npos : end - at - 1);
        if (pair.starts_with(name + '='))
        {
            return pair.substr(name.size() + 1);
        }
        at = end;
    }
    return {};
}

} // namespace

milliseconds elapsed()
{
    return std::chrono::duration_cast<milliseconds>(clock::now() - begin);
}

void sleep_until(milliseconds at)
{
    std::this_thread::sleep_until(begin + at);
}

void record_file::line(const std::string& text)
{
    const std::lock_guard lock{m_mutex};
    m_out << elapsed().count() << " ms  " << text << std::endl;
}

std::string field_of(const fields& list, const std::string& name)
{
    for (const auto& [key, value] : list)
    {
        if (::strcasecmp(key.c_str(), name.c_str()) == 0)
        {
            return value;
        }
    }
    return {};
}

connection::~connection()
{
    ::close(m_socket);
}

bool connection::read_request(message& request)
{
    constexpr std::chrono::seconds idle{30};
    const auto limit = clock::now() + idle;
    const std::string line = read_head(m_socket, m_buffer, request.m_fields, limit);
    const std::size_t first = line.find(' ');
    const std::size_t second = line.find(' ', first + 1);
    if (line.empty() || second == std::string::npos)
    {
        return false;
    }
    request.m_method = line.substr(0, first);
    request.m_target = line.substr(first + 1, second - first - 1);
    const std::string length = field_of(request.m_fields, "Content-Length");
    return length.empty() ||
           read_size(m_socket, m_buffer, std::stoul(length), request.m_body, limit);
}

bool connection::write(const std::string& bytes) const
{
    return write_all(m_socket, bytes);
}

bool connection::respond(unsigned status, const fields& list,
                         const std::string& body) const
{
    std::string bytes = "HTTP/1.1 " + std::to_string(status) + " Status\r\n";
    for (const auto& [name, value] : list)
    {
        bytes += name + ": " + value + "\r\n";
    }
    bytes += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    return write(bytes);
}

void connection::shut() const
{
    ::shutdown(m_socket, SHUT_RDWR);
}

bool connection::peer_gone() const
{
    char byte = 0;
    const ssize_t size = ::recv(m_socket, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return size == 0 || (size < 0 && errno != EAGAIN);
}

server::server(std::string ip, std::uint16_t port, handler serve)
    : m_ip{std::move(ip)}, m_port{port}, m_serve{std::move(serve)}
{
}

server::~server()
{
    stop();
}

void server::start()
{
    m_listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(m_listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const sockaddr_in address = address_of(m_ip, m_port);
    const auto* bound = reinterpret_cast<const sockaddr*>(&address);
    constexpr int backlog = 512;
    if (::bind(m_listener, bound, sizeof address) != 0 ||
        ::listen(m_listener, backlog) != 0)
    {
        throw std::runtime_error{"cannot listen on " + m_ip + ": " +
                                 std::strerror(errno)};
    }
    m_acceptor = std::thread{[this, listener = m_listener]
                             {
                                 accept_all(listener);
                             }};
}

void server::stop()
{
    if (m_listener < 0)
    {
        return;
    }
    ::shutdown(m_listener, SHUT_RDWR);
    m_acceptor.join();
    ::close(m_listener);
    m_listener = -1;
    {
        const std::lock_guard lock{m_mutex};
        for (const auto& peer : m_open)
        {
            peer->shut();
        }
    }
    while (m_threads > 0)
    {
        std::this_thread::sleep_for(milliseconds{1});
    }
}

void server::accept_all(int listener)
{
    while (true)
    {
        const int socket = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (socket < 0)
        {
            return;
        }
        const int on = 1;
        ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        auto peer = std::make_shared<connection>(socket);
        {
            const std::lock_guard lock{m_mutex};
            m_open.insert(peer);
        }
        ++m_threads;
        std::thread{[this, peer]
                    {
                        run(peer);
                    }}
            .detach();
    }
}

void server::run(const std::shared_ptr<connection>& peer)
{
    bool open = true;
    while (open)
    {
        message request;
        open = peer->read_request(request) && m_serve(*peer, request);
    }
    peer->shut();
    {
        const std::lock_guard lock{m_mutex};
        m_open.erase(peer);
    }
    --m_threads;
}

store::store(const std::string& ip, std::uint16_t port)
    : m_server{ip, port,
               [this](connection& peer, const message& request)
               {
                   return serve(peer, request);
               }}
{
}

void store::put(const std::string& table, const std::string& key,
                const std::string& value)
{
    const std::lock_guard lock{m_mutex};
    m_tables[table][key] = {value, ++m_version, false};
}

void store::put_entry(const std::string& key, const std::string& value)
{
    const std::lock_guard lock{m_mutex};
    if (m_silent)
    {
        m_late_entries.emplace_back(key, value);
        return;
    }
    m_tables["servers"][key] = {value, ++m_version, false};
}

void store::set_silent(bool silent)
{
    const std::lock_guard lock{m_mutex};
    m_silent = silent;
    for (const auto& [key, value] : std::exchange(m_late_entries, {}))
    {
        m_tables["servers"][key] = {value, ++m_version, false};
    }
}

bool store::is_unanswered() const
{
    const bool unanswered = m_silent;
    while (m_silent)
    {
        std::this_thread::sleep_for(milliseconds{10});
    }
    return unanswered;
}

bool store::serve(connection& peer, const message& request)
{
    constexpr milliseconds answer_time{4};
    std::this_thread::sleep_for(answer_time);
    // A channel on which an answer is lost delivers nothing further.
    if (is_unanswered())
    {
        return false;
    }
    return request.m_target == "/rows-tx" ? apply(peer, request)
                                          : read_rows(peer, request);
}

bool store::read_rows(connection& peer, const message& request)
{
    const bool whole = request.m_target.starts_with("/rows-get");
    const std::string table = query_value(request.m_target, "table");
    const std::string after = query_value(request.m_target, "after");
    const std::string wait = query_value(request.m_target, "waitMs");
    const std::uint64_t since = whole || after.empty() ? 0 : std::stoull(after);
    const auto last = clock::now() + milliseconds{wait.empty() ? 0 : std::stoi(wait)};
    json::array rows;
    std::uint64_t version = 0;
    while (true)
    {
        if (is_unanswered())
        {
            return false;
        }
        {
            const std::lock_guard lock{m_mutex};
            version = m_version;
            for (const auto& [key, stored] : m_tables[table])
            {
                if (stored.m_version <= since || (whole && stored.m_removed))
                {
                    continue;
                }
                json::object entry{{"table", table},
                                   {"part", ""},
                                   {"key", key},
                                   {"ver", stored.m_version}};
                if (stored.m_removed)
                {
                    entry["removed"] = true;
                }
                else
                {
                    entry["value"] = encode(stored.m_value);
                }
                rows.push_back(std::move(entry));
            }
        }
        if (!rows.empty() || clock::now() >= last)
        {
            break;
        }
        std::this_thread::sleep_for(milliseconds{2});
    }
    if (since > version)
    {
        return peer.respond(410, {{"Store-Era", "1"}}, "");
    }
    const json::object page{{"rows", std::move(rows)},
                            {"hasMore", false},
                            {"ver", version},
                            {"nowMs", elapsed().count()}};
    return peer.respond(200, {{"Store-Era", "1"}, {"Content-Type", "application/json"}},
                        json::serialize(page));
}

bool store::apply(connection& peer, const message& request)
{
    const json::value body = json::parse(request.m_body);
    const auto text = [](const json::value& entry, const char* name)
    {
        return std::string{entry.at(name).as_string()};
    };
    const std::lock_guard lock{m_mutex};
    for (const json::value& entry : body.at("expected").as_array())
    {
        const row& known = m_tables[text(entry, "table")][text(entry, "key")];
        const std::uint64_t version = known.m_removed ? 0 : known.m_version;
        if (entry.at("ver").to_number<std::uint64_t>() != version)
        {
            return peer.respond(412, {{"Store-Era", "1"}}, R"({"rows":[]})");
        }
    }
    ++m_version;
    for (const json::value& entry : body.at("setKeys").as_array())
    {
        m_tables[text(entry, "table")][text(entry, "key")] = {
            decode(text(entry, "value")), m_version, false};
    }
    for (const json::value& entry : body.at("remove").as_array())
    {
        m_tables[text(entry, "table")][text(entry, "key")] = {"", m_version, true};
    }
    return peer.respond(200, {{"Store-Era", "1"}, {"Content-Type", "application/json"}},
                        json::serialize(json::object{{"ver", m_version}}));
}

upstream::upstream(store& registry, std::string id, std::string service, std::string ip,
                   work serve)
    : m_store{registry}
    , m_id{std::move(id)}
    , m_service{std::move(service)}
    , m_ip{std::move(ip)}
    , m_work{std::move(serve)}
    , m_beats{[this]
              {
                  beat();
              }}
{
}

upstream::~upstream()
{
    m_ended = true;
    m_beats.join();
    crash();
}

std::string upstream::version() const
{
    const std::lock_guard lock{m_mutex};
    return m_version;
}

void upstream::set_version(const std::string& version)
{
    const std::lock_guard lock{m_mutex};
    m_version = version;
}

std::string upstream::entry() const
{
    const std::lock_guard lock{m_mutex};
    return json::serialize(
        json::object{{"service", m_service},
                     {"address", m_ip + ":" + std::to_string(upstream_port)},
                     {"zone", "zone-a"},
                     {"version", m_version},
                     {"maxConcurrency", 64},
                     {"state", "ready"},
                     {"coldRemainingMs", 0},
                     {"sequence", m_sequence},
                     {"born", m_born}});
}

void upstream::start()
{
    {
        const std::lock_guard lock{m_mutex};
        m_born = std::chrono::duration_cast<milliseconds>(
                     std::chrono::system_clock::now().time_since_epoch())
                     .count();
        m_sequence = 1;
    }
    m_store.put_entry(m_id, entry());
    m_server = std::make_unique<server>(m_ip, upstream_port,
                                        [this](connection& peer, const message& request)
                                        {
                                            return m_work(*this, peer, request);
                                        });
    ++m_start;
    m_is_up = true;
    m_server->start();
}

void upstream::crash()
{
    m_is_up = false;
    m_server.reset();
}

void upstream::beat()
{
    constexpr milliseconds heartbeat{1200};
    auto next = clock::now() + heartbeat;
    while (!m_ended)
    {
        std::this_thread::sleep_for(milliseconds{20});
        if (clock::now() < next)
        {
            continue;
        }
        next = clock::now() + heartbeat;
        if (m_is_up)
        {
            {
                const std::lock_guard lock{m_mutex};
                ++m_sequence;
            }
            m_store.put_entry(m_id, entry());
        }
    }
}

edge_host::edge_host(std::string folder, const std::string& network, int number)
    : m_folder{std::move(folder)}
    , m_network{network}
    , m_number{number}
    , m_ip{network + std::to_string(number)}
{
}

edge_host::~edge_host()
{
    if (m_process > 0)
    {
        signal(SIGKILL);
        wait();
    }
}

void edge_host::start()
{
    const std::string name = "edge-zone-a-" + std::to_string(m_number);
    const std::string settings = m_folder + "/" + name + ".json";
    const auto at = [this](int port)
    {
        return m_ip + ":" + std::to_string(port);
    };
    constexpr int directory_port = 8620;
    constexpr int peer_port = 7740;
    constexpr int metrics_port = 9464;
    constexpr int control_port = 8628;
    json::object values{
        {"host", name},
        {"data_centre", "zone-a"},
        {"region", "area"},
        {"callers", at(caller_port)},
        {"readiness", at(ready_port)},
        {"metrics", at(metrics_port)},
        {"directory", at(directory_port)},
        {"peers", at(peer_port)},
        {"store", m_network + "200:" + std::to_string(store_port)},
        {"seeds", json::array{m_network + "1:" + std::to_string(control_port),
                              m_network + "2:" + std::to_string(control_port),
                              m_network + "3:" + std::to_string(control_port)}},
        {"processor_share", 0.25},
        {"memory_mb", 260},
        {"open_files", 4100},
        {"retry_ratio", 0.2},
        {"retry_slack", 54},
        {"retry_window_s", 10},
        {"cold_factor", 1.5},
        {"cold_extra", 5},
        {"stop_time_s", 8},
        {"address_life_s", 5}};
    std::ofstream{settings} << json::serialize(values);
    const std::string log = m_folder + "/" + name + ".log";
    m_process = ::fork();
    if (m_process == 0)
    {
        const int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        ::dup2(out, STDOUT_FILENO);
        ::dup2(out, STDERR_FILENO);
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        ::setenv("GERANIUMDOOR_CONFIG", settings.c_str(), 1);
        ::execl("target/geraniumdoor_edge", "target/geraniumdoor_edge", nullptr);
        ::_exit(127);
    }
}

void edge_host::signal(int number) const
{
    ::kill(m_process, number);
}

int edge_host::wait()
{
    int status = 0;
    ::waitpid(m_process, &status, 0);
    m_process = -1;
    return status;
}

bool edge_host::is_ready() const
{
    const int socket = connect_to(m_ip, ready_port);
    if (socket < 0)
    {
        return false;
    }
    write_all(socket, "GET /readyz HTTP/1.1\r\nHost: ready\r\n\r\n");
    std::string buffer;
    fields list;
    constexpr milliseconds limit{500};
    const std::string line = read_head(socket, buffer, list, clock::now() + limit);
    ::close(socket);
    return line.find(" 200 ") != std::string::npos;
}

hosts_of_case::hosts_of_case(const setup& place, const std::string& network, int count)
{
    for (int at = 1; at <= count; ++at)
    {
        m_hosts.push_back(std::make_unique<edge_host>(place.m_temporary, network, at));
        m_hosts.back()->start();
    }
}

milliseconds hosts_of_case::wait_until_ready() const
{
    constexpr milliseconds start_time{10000};
    const auto limit = elapsed() + start_time;
    for (const auto& host : m_hosts)
    {
        while (!host->is_ready())
        {
            if (elapsed() > limit)
            {
                throw std::runtime_error{"a host is not ready"};
            }
            std::this_thread::sleep_for(milliseconds{50});
        }
    }
    return elapsed();
}

const std::string& hosts_of_case::ip_of(std::uint64_t number) const
{
    return m_hosts[number % m_hosts.size()]->ip();
}

std::string find_free_network()
{
    for (int tried = 0; tried < 50; ++tried)
    {
        const int number = (static_cast<int>(::getpid()) + tried * 37) % 16000;
        const std::string network = "127." + std::to_string(64 + number / 250) + "." +
                                    std::to_string(1 + number % 250) + ".";
        const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const sockaddr_in address = address_of(network + "200", store_port);
        const bool is_free = ::bind(socket, reinterpret_cast<const sockaddr*>(&address),
                                    sizeof address) == 0;
        ::close(socket);
        if (is_free)
        {
            return network;
        }
    }
    throw std::runtime_error{"no free addresses"};
}

channel::~channel()
{
    close();
}

bool channel::open(const std::string& ip)
{
    close();
    m_ip = ip;
    m_is_used = false;
    m_buffer.clear();
    m_socket = connect_to(ip, caller_port);
    return is_open();
}

void channel::close()
{
    if (is_open())
    {
        ::close(std::exchange(m_socket, -1));
    }
}

answer channel::exchange(const message& request, milliseconds limit)
{
    answer seen;
    if (!is_open())
    {
        return seen;
    }
    m_is_used = true;
    const auto end = clock::now() + limit;
    std::string bytes = request.m_method + " " + request.m_target + " HTTP/1.1\r\n";
    for (const auto& [name, value] : request.m_fields)
    {
        bytes += name + ": " + value + "\r\n";
    }
    if (request.m_method == "POST")
    {
        bytes += "Content-Length: " + std::to_string(request.m_body.size()) + "\r\n";
    }
    constexpr std::size_t status_at = 9;
    if (write_all(m_socket, bytes + "\r\n" + request.m_body))
    {
        const std::string line = read_head(m_socket, m_buffer, seen.m_fields, end);
        if (line.size() > status_at + 3)
        {
            seen.m_status = static_cast<unsigned>(std::stoul(line.substr(status_at, 3)));
            const std::string length = field_of(seen.m_fields, "Content-Length");
            seen.m_complete =
                length.empty()
                    ? read_chunks(m_socket, m_buffer, seen.m_body, end)
                    : read_size(m_socket, m_buffer, std::stoul(length), seen.m_body, end);
        }
    }
    if (!seen.m_complete || field_of(seen.m_fields, "Connection") == "close")
    {
        close();
    }
    return seen;
}

answer call(const std::string& ip, const message& request, milliseconds limit)
{
    channel used;
    used.open(ip);
    return used.exchange(request, limit);
}

std::string make_id(std::uint64_t number)
{
    char text[17];
    std::snprintf(text, sizeof text, "%016llx",
                  static_cast<unsigned long long>(number * 0x9e3779b97f4a7c15ULL));
    return text;
}

} // namespace review

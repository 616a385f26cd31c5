#pragma once

// Stand-ins for the cases of this review: the platform's store, upstreams, edge hosts and
// callers. Each runs in threads of the case's process; the edge hosts are processes.

#include <boost/json.hpp>

#include <atomic>
#include <chrono>
#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include <sys/types.h>

namespace review
{

using clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

/// Time since the start of the case.
milliseconds elapsed();

/// Sleeps until a time since the start of the case.
void sleep_until(milliseconds at);

/// The file record.txt of the case.
class record_file
{
public:
    explicit record_file(const std::string& path) : m_out{path} {}
    void line(const std::string& text);

private:
    std::mutex m_mutex;
    std::ofstream m_out;
};

using fields = std::vector<std::pair<std::string, std::string>>;

/// Value of a field; empty if there is none.
std::string field_of(const fields& list, const std::string& name);

struct message
{
    std::string m_method;
    std::string m_target;
    unsigned m_status = 0;
    fields m_fields;
    std::string m_body;
};

/// One accepted connection.
class connection
{
public:
    explicit connection(int socket) : m_socket{socket} {}
    ~connection();
    connection(const connection&) = delete;
    connection& operator=(const connection&) = delete;

    bool read_request(message& request);
    bool write(const std::string& bytes) const;
    /// Writes a response with a length.
    bool respond(unsigned status, const fields& list, const std::string& body) const;
    /// Ends all reads and writes, as the end of the process would.
    void shut() const;
    /// Whether the peer has closed.
    bool peer_gone() const;

private:
    int m_socket;
    std::string m_buffer;
};

/// Accepts connections and serves each in a thread.
class server
{
public:
    /// Serves one request. Returns whether the connection is kept.
    using handler = std::function<bool(connection&, const message&)>;

    server(std::string ip, std::uint16_t port, handler serve);
    ~server();
    server(const server&) = delete;
    server& operator=(const server&) = delete;

    void start();
    /// Closes the listener and all connections.
    void stop();

private:
    void accept_all(int listener);
    void run(const std::shared_ptr<connection>& peer);

    std::string m_ip;
    std::uint16_t m_port;
    handler m_serve;
    int m_listener = -1;
    std::thread m_acceptor;
    std::mutex m_mutex;
    std::set<std::shared_ptr<connection>> m_open;
    std::atomic<int> m_threads{0};
};

/// The platform's store.
class store
{
public:
    store(const std::string& ip, std::uint16_t port);

    void put(const std::string& table, const std::string& key, const std::string& value);
    /// Write of an upstream to its entry.
    void put_entry(const std::string& key, const std::string& value);
    /// Whether no call is answered. Writes meanwhile are performed when the store is
    /// back.
    void set_silent(bool silent);
    void start()
    {
        m_server.start();
    }
    void stop()
    {
        m_server.stop();
    }

private:
    struct row
    {
        std::string m_value;
        std::uint64_t m_version = 0;
        bool m_removed = false;
    };

    /// Waits until the store answers. Returns whether the call has lost its answer.
    bool is_unanswered() const;
    bool serve(connection& peer, const message& request);
    bool read_rows(connection& peer, const message& request);
    bool apply(connection& peer, const message& request);

    std::mutex m_mutex;
    std::map<std::string, std::map<std::string, row>> m_tables;
    std::uint64_t m_version = 1;
    std::atomic<bool> m_silent{false};
    std::vector<std::pair<std::string, std::string>> m_late_entries;
    server m_server;
};

/// An upstream. It sends its entry to the store before it takes requests, and with each
/// heartbeat.
class upstream
{
public:
    using work = std::function<bool(upstream&, connection&, const message&)>;

    upstream(store& registry, std::string id, std::string service, std::string ip,
             work serve);
    ~upstream();

    void start();
    /// Ends like a process that is killed.
    void crash();
    const std::string& id() const
    {
        return m_id;
    }
    std::string version() const;
    void set_version(const std::string& version);
    /// Whether this start of the upstream still runs.
    bool is_running(std::uint64_t start) const
    {
        return m_is_up && m_start == start;
    }
    std::uint64_t start_number() const
    {
        return m_start;
    }

private:
    void beat();
    std::string entry() const;

    store& m_store;
    std::string m_id;
    std::string m_service;
    std::string m_ip;
    work m_work;
    mutable std::mutex m_mutex;
    std::string m_version = "7";
    std::int64_t m_born = 0;
    std::uint64_t m_sequence = 0;
    std::atomic<bool> m_is_up{false};
    std::atomic<bool> m_ended{false};
    std::atomic<std::uint64_t> m_start{0};
    std::unique_ptr<server> m_server;
    std::thread m_beats;
};

/// A process of the edge host, started as the deploy file says.
class edge_host
{
public:
    edge_host(std::string folder, const std::string& network, int number);
    ~edge_host();

    void start();
    void signal(int number) const;
    /// Waits for the end of the process. Returns its status as of waitpid.
    int wait();
    bool is_ready() const;
    const std::string& ip() const
    {
        return m_ip;
    }

private:
    std::string m_folder;
    std::string m_network;
    int m_number;
    std::string m_ip;
    pid_t m_process = -1;
};

constexpr std::uint16_t caller_port = 8625;
constexpr std::uint16_t ready_port = 8621;
constexpr std::uint16_t store_port = 8624;
constexpr std::uint16_t upstream_port = 8080;

/// The part of an address that a case's processes share, such as "127.91.7.".
std::string find_free_network();

/// What a caller sees of an answer.
struct answer
{
    /// Zero if no head arrived.
    unsigned m_status = 0;
    fields m_fields;
    std::string m_body;
    /// The answer ended as its framing says.
    bool m_complete = false;
};

/// Sends a request on a new connection and reads the answer.
answer call(const std::string& ip, const message& request, milliseconds limit);

/// A connection of a caller that may carry several requests.
class channel
{
public:
    channel() = default;
    ~channel();
    channel(const channel&) = delete;
    channel& operator=(const channel&) = delete;

    bool open(const std::string& ip);
    bool is_open() const
    {
        return m_socket >= 0;
    }
    /// Whether it has carried a request.
    bool used() const
    {
        return m_is_used;
    }
    const std::string& ip() const
    {
        return m_ip;
    }
    /// Sends a request and reads the answer. Closes unless another request may follow.
    answer exchange(const message& request, milliseconds limit);
    void close();

private:
    std::string m_ip;
    std::string m_buffer;
    int m_socket = -1;
    bool m_is_used = false;
};

/// An id of a consumer attempt.
std::string make_id(std::uint64_t number);

/// The commands and the environment of one case.
struct setup
{
    /// Folder of the case.
    std::string m_case;
    /// Temporary folder.
    std::string m_temporary;
    bool m_trouble = true;
};

/// The edge hosts of a case.
class hosts_of_case
{
public:
    hosts_of_case(const setup& place, const std::string& network, int count);

    /// Returns when all hosts became ready. Throws if one does not.
    milliseconds wait_until_ready() const;
    /// Address of one of the hosts, by turns.
    const std::string& ip_of(std::uint64_t number) const;
    edge_host& host(std::size_t index)
    {
        return *m_hosts.at(index);
    }
    /// Kills all hosts.
    void stop()
    {
        m_hosts.clear();
    }

private:
    std::vector<std::unique_ptr<edge_host>> m_hosts;
};

using scenario = int (*)(const setup& place);

int resumed_stream(const setup& place);
int refused_run(const setup& place);
int idle_restart(const setup& place);
int odd_entry(const setup& place);
int coded_answer(const setup& place);

} // namespace review

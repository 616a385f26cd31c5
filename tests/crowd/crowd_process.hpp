#pragma once

#include <cstddef>
#include <memory>
#include <string>
#include <vector>

#include <programs/child_process.hpp>
#include <programs/run_program.hpp>

namespace geraniumdoor::test
{

/// A process of the system, and what it takes of its machine.
class crowd_process
{
public:
    /// Starts a program of the build with a settings file of this text.
    /// @param name of the program and of its scratch files
    void start(const std::string& name, const std::string& settings);

    /// Memory from now on counts as grown.
    void mark_rest();

    /// Lowers the limit of descriptors that the kernel enforces.
    void limit_descriptors(std::size_t count) const;

    /// Returns once the process has nothing to do. What callers have sent may wait in the
    /// buffers of the kernel.
    void wait_until_idle() const;

    bool is_alive();

    /// Peak of the resident memory since mark_rest, above what it was then.
    std::size_t grown_bytes() const;

    std::size_t open_descriptors() const;

    /// Bytes that the kernel has received for the process and that it has not read.
    std::size_t unread_bytes() const;

private:
    /// Processor time since the start, in clock ticks of 10 ms.
    long processor_ticks() const;
    std::string status_line(const std::string& name) const;

    std::unique_ptr<scratch_file> m_settings;
    std::unique_ptr<scratch_file> m_log;
    child_process m_process;
    std::size_t m_rest_bytes = 0;
};

} // namespace geraniumdoor::test

// A process that a test starts and ends by its id.

#pragma once

#include <chrono>
#include <csignal>
#include <fcntl.h>
#include <optional>
#include <spawn.h>
#include <string>
#include <sys/stat.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace jacinthspindle::e2e {

using std::chrono::milliseconds;

// Bound on each wait. A loaded machine needs seconds for what takes milliseconds otherwise.
constexpr milliseconds waitLimit { 60000 };
constexpr milliseconds pollStep { 10 };

// Calls isDone until it is true; returns false after the limit.
template <typename Condition> bool waitFor(Condition isDone, milliseconds limit = waitLimit)
{
    auto end = std::chrono::steady_clock::now() + limit;
    while (!isDone()) {
        if (std::chrono::steady_clock::now() > end)
            return false;
        std::this_thread::sleep_for(pollStep);
    }
    return true;
}

class Process {
public:
    // The process writes its output to the file log.
    Process(std::vector<std::string> command, const std::string& log)
    {
        posix_spawn_file_actions_t actions;
        posix_spawn_file_actions_init(&actions);
        posix_spawn_file_actions_addopen(
            &actions, STDOUT_FILENO, log.c_str(), O_WRONLY | O_CREAT | O_APPEND, S_IRUSR | S_IWUSR);
        posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
        std::vector<char*> arguments;
        for (auto& it : command)
            arguments.push_back(it.data());
        arguments.push_back(nullptr);
        if (posix_spawn(&m_pid, arguments.front(), &actions, nullptr, arguments.data(), environ) != 0)
            m_pid = -1;
        posix_spawn_file_actions_destroy(&actions);
    }

    ~Process()
    {
        if (m_pid <= 0 || m_status)
            return;
        kill(m_pid, SIGKILL);
        int status = 0;
        waitpid(m_pid, &status, 0);
    }

    Process(const Process&) = delete;
    Process& operator=(const Process&) = delete;

    void signal(int number) const
    {
        if (m_pid > 0 && !m_status)
            kill(m_pid, number);
    }

    bool isRunning() { return m_pid > 0 && !poll(); }

    // Returns the exit status, or 128 and the signal number; nothing when the process still runs after the limit.
    std::optional<int> waitForEnd(milliseconds limit = waitLimit)
    {
        waitFor([this] { return poll().has_value(); }, limit);
        return m_status;
    }

private:
    std::optional<int> poll()
    {
        int status = 0;
        if (m_pid > 0 && !m_status && waitpid(m_pid, &status, WNOHANG) == m_pid)
            m_status = WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
        return m_status;
    }

    pid_t m_pid = -1;
    std::optional<int> m_status;
};

} // namespace jacinthspindle::e2e

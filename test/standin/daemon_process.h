// A daemon in a process of its own, so that signals and its exit act as in production.
#pragma once

#include "wire/json_reader.h"

#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <stdexcept>
#include <string>

namespace radishford {

// Starts radishfordd with settings in the platform's format, and kills it at the end of its lifetime unless it has exited.
class DaemonProcess
{
public:
    // Starts the process, which inherits no other descriptors than its log. Without a reader of its standard output, the log contains only standard error.
    DaemonProcess(const std::string &program, const std::string &settings, bool hasOutputReader = true)
        : folder_(makeFolder())
    {
        writeSettings(settings);
        process_ = fork();
        if (process_ == 0) {
            prctl(PR_SET_PDEATHSIG, SIGKILL);
            const int log = open(logPath().c_str(), O_CREAT | O_WRONLY | O_APPEND, 0600);
            dup2(hasOutputReader ? log : openPipeWithoutReader(), STDOUT_FILENO);
            dup2(log, STDERR_FILENO);
            close_range(STDERR_FILENO + 1, ~0U, 0);
            execl(program.c_str(), program.c_str(), "--platform-settings", settingsPath().c_str(), nullptr);
            _exit(127);
        }
    }

    ~DaemonProcess()
    {
        if (!hasExited()) {
            kill(process_, SIGKILL);
            waitpid(process_, &status_, 0);
        }
        std::filesystem::remove_all(folder_);
    }

    DaemonProcess(const DaemonProcess &) = delete;
    DaemonProcess &operator=(const DaemonProcess &) = delete;

    // Path of the settings file.
    [[nodiscard]] std::string settingsPath() const
    {
        return (folder_ / "settings.json").string();
    }

    // Replaces the settings file.
    void writeSettings(const std::string &settings) const
    {
        std::ofstream(settingsPath()) << settings;
    }

    void sendSignal(int number)
    {
        if (!hasExited()) {
            kill(process_, number);
        }
    }

    // True once the process has ended.
    bool hasExited()
    {
        hasExited_ = hasExited_ || waitpid(process_, &status_, WNOHANG) == process_;
        return hasExited_;
    }

    // True when the process has ended by itself with exit code 0.
    bool hasSucceeded()
    {
        return hasExited() && WIFEXITED(status_) && WEXITSTATUS(status_) == 0;
    }

    [[nodiscard]] pid_t id() const
    {
        return process_;
    }

    // How the process has ended, as reported by waitpid().
    [[nodiscard]] int status() const
    {
        return status_;
    }

    // True once the log contains a text.
    [[nodiscard]] bool hasLogged(const std::string &text) const
    {
        return log().find(text) != std::string::npos;
    }

    // All that the process has written.
    [[nodiscard]] std::string log() const
    {
        return std::filesystem::exists(logPath()) ? readFile(logPath()) : std::string();
    }

private:
    // Returns the end for writing of a pipe whose other end is closed.
    static int openPipeWithoutReader()
    {
        std::array<int, 2> ends{};
        if (pipe(ends.data()) != 0) {
            _exit(127);
        }
        close(ends[0]);
        return ends[1];
    }

    static std::filesystem::path makeFolder()
    {
        std::string folder = (std::filesystem::temp_directory_path() / "radishford-test-XXXXXX").string();
        if (mkdtemp(folder.data()) == nullptr) {
            throw std::runtime_error("cannot create " + folder);
        }
        return folder;
    }

    [[nodiscard]] std::string logPath() const
    {
        return (folder_ / "log").string();
    }

    std::filesystem::path folder_;
    pid_t process_ = 0;
    bool hasExited_ = false;
    int status_ = 0;
};

} // namespace radishford

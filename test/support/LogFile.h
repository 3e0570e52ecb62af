// The log of a router in a temporary file, which tests read back.

#pragma once

#include <cstdio>
#include <sstream>
#include <string>
#include <unistd.h>
#include <vector>

namespace jacinthspindle::test {

class LogFile {
public:
    LogFile()
        : m_file(std::tmpfile())
    {
    }
    ~LogFile() { std::fclose(m_file); }
    LogFile(const LogFile&) = delete;
    LogFile& operator=(const LogFile&) = delete;

    // For the router::Journal that writes the log.
    int descriptor() const { return fileno(m_file); }

    // Lines with this text.
    std::vector<std::string> lines(const std::string& text) const
    {
        std::string all;
        char buf[4096];
        ssize_t n = 0;
        while ((n = pread(descriptor(), buf, sizeof buf, static_cast<off_t>(all.size()))) > 0)
            all.append(buf, static_cast<size_t>(n));
        std::vector<std::string> lines;
        std::istringstream stream(all);
        for (std::string line; std::getline(stream, line);) {
            if (line.find(text) != std::string::npos)
                lines.push_back(line);
        }
        return lines;
    }

private:
    std::FILE* m_file; // Deleted when it is closed.
};

} // namespace jacinthspindle::test

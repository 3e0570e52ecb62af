// The platform's table service, object store and host list over HTTP with JSON. docs/design.md 2.5 lists the requests.

#pragma once

#include "spindlecore/Ports.h"

namespace jacinthspindle {

// Each class is thread-safe and holds only its address ("IP:port"). A timeout covers the whole call: connecting,
// sending and reading.

class HttpTableService final : public TableService {
public:
    explicit HttpTableService(std::string address)
        : m_address(std::move(address))
    {
    }

    ReadAnswer read(const std::string& key, std::chrono::milliseconds timeout) override;
    std::optional<std::vector<StoredRow>> scan(const std::string& prefix, const std::string& after, uint32_t limit,
        std::chrono::milliseconds timeout) override;
    // Unavailable only when no connection was made; any answer other than a whole 200 or 409 is Unknown.
    CommitOutcome commit(const Transaction&, std::chrono::milliseconds timeout) override;

private:
    std::string m_address;
};

class HttpObjectStore final : public ObjectStore {
public:
    explicit HttpObjectStore(std::string address)
        : m_address(std::move(address))
    {
    }

    bool put(const std::string& name, const std::string& bytes, std::chrono::milliseconds timeout) override;
    std::optional<std::string> get(const std::string& name, std::chrono::milliseconds timeout) override;
    std::optional<std::vector<std::string>> list(const std::string& prefix, std::chrono::milliseconds timeout) override;

private:
    std::string m_address;
};

class HttpHostList final : public HostList {
public:
    explicit HttpHostList(std::string address)
        : m_address(std::move(address))
    {
    }

    std::optional<std::vector<HostEntry>> hosts(std::chrono::milliseconds timeout) override;

private:
    std::string m_address;
};

} // namespace jacinthspindle

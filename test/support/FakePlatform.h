// A table service and an object store in memory, with a list of faults that are used up one per commit.

#pragma once

#include <deque>
#include <map>
#include <spindlecore/spindlecore.h>

namespace jacinthspindle::test {

enum class CommitFault { None, LostRequest, LostAnswer, Unavailable };

class FakeTableService final : public TableService {
public:
    ReadAnswer read(const std::string& key, std::chrono::milliseconds) override
    {
        if (isDown)
            return {};
        auto it = rows.find(key);
        if (it == rows.end())
            return { ReadOutcome::Absent, { key, "", 0 } };
        return { ReadOutcome::Found, it->second };
    }

    std::optional<std::vector<StoredRow>> scan(
        const std::string& prefix, const std::string& after, uint32_t limit, std::chrono::milliseconds) override
    {
        if (isDown)
            return std::nullopt;
        std::vector<StoredRow> found;
        for (auto it = rows.upper_bound(std::max(prefix, after)); it != rows.end() && found.size() < limit; ++it) {
            if (it->first.compare(0, prefix.size(), prefix))
                break;
            found.push_back(it->second);
        }
        return found;
    }

    CommitOutcome commit(const Transaction& transaction, std::chrono::milliseconds) override
    {
        auto fault = CommitFault::None;
        if (!faults.empty()) {
            fault = faults.front();
            faults.pop_front();
        }
        if (isDown || fault == CommitFault::Unavailable)
            return CommitOutcome::Unavailable;
        if (fault == CommitFault::LostRequest)
            return CommitOutcome::Unknown;
        for (const auto& it : transaction.preconditions) {
            auto row = rows.find(it.key);
            if ((row == rows.end() ? 0 : row->second.version) != it.version)
                return fault == CommitFault::LostAnswer ? CommitOutcome::Unknown : CommitOutcome::Conflict;
        }
        for (const auto& it : transaction.writes)
            rows[it.key] = { it.key, it.value, ++lastVersion };
        return fault == CommitFault::LostAnswer ? CommitOutcome::Unknown : CommitOutcome::Committed;
    }

    std::map<std::string, StoredRow> rows;
    std::deque<CommitFault> faults;
    bool isDown = false;
    uint64_t lastVersion = 0;
};

class FakeObjectStore final : public ObjectStore {
public:
    bool put(const std::string& name, const std::string& bytes, std::chrono::milliseconds) override
    {
        if (isDown)
            return false;
        objects[name] = bytes;
        return true;
    }

    std::optional<std::string> get(const std::string& name, std::chrono::milliseconds) override
    {
        auto it = objects.find(name);
        if (isDown || it == objects.end())
            return std::nullopt;
        return it->second;
    }

    std::optional<std::vector<std::string>> list(const std::string& prefix, std::chrono::milliseconds) override
    {
        if (isDown)
            return std::nullopt;
        std::vector<std::string> names;
        for (const auto& [name, bytes] : objects) {
            if (!name.compare(0, prefix.size(), prefix))
                names.push_back(name);
        }
        return names;
    }

    std::map<std::string, std::string> objects;
    bool isDown = false;
};

} // namespace jacinthspindle::test

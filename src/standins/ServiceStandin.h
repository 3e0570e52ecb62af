// A stand-in of a plain service: a catalogue with bookings that counts how often each action ran.

#pragma once

#include "spindlecore/Table.h"
#include "standins/Faults.h"
#include "standins/StandinServer.h"

#include <map>
#include <mutex>
#include <string>

namespace jacinthspindle::standins {

// What the endpoints of one service share, as the hosts of a catalogue share their database.
struct ServiceRecords {
    struct Action {
        uint32_t runs = 0;
        uint64_t fence = 0; // The highest that was seen.
        int status = 0;
        std::string body;
    };

    std::mutex mutex;
    std::map<std::string, Action> actions; // By idempotency key.
    uint64_t effects = 0;
    uint64_t reads = 0;
};

// A POST, PUT, PATCH or DELETE of any path is an action, and a GET is a read.
class ServiceStandin final : public Standin {
public:
    ServiceStandin(const EndpointRow&, std::shared_ptr<ServiceRecords>);

    const std::string& name() const override { return m_name; }
    bool start() override { return m_server.start(); }
    void stop() override { m_server.stop(); }
    bool setFaults(const Json&) override;
    Json counters() const override;

private:
    void install(httplib::Server&);
    void handleRead(const httplib::Request&, httplib::Response&);
    void handleLookup(const httplib::Request&, httplib::Response&);
    void handleAction(const httplib::Request&, httplib::Response&);
    bool takeFence(ServiceRecords::Action&, const httplib::Request&, bool ignoresFence) const;
    void runAction(ServiceRecords::Action&, const httplib::Request&);
    ServiceFaults takeFaults();

    const std::string m_name;
    const Capabilities m_capabilities;
    const std::shared_ptr<ServiceRecords> m_records;
    std::mutex m_mutex;
    ServiceFaults m_faults;
    StandinServer m_server; // The last member: its threads use the others.
};

} // namespace jacinthspindle::standins

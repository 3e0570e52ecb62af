// Configurations of the cases: a plain service "desk" and a model "assistant" with one layer.

#pragma once

#include <string>

namespace review {

// An added route to the desk, with the prefix "/open/".
enum class AddedRoute { None, WithKey, Public };

inline std::string configurationText(int version, AddedRoute added = AddedRoute::None)
{
    std::string addedText;
    if (added != AddedRoute::None) {
        addedText = R"({"name":"r-open","host":"desk.example","prefix":"/open/","routeKind":"non_idempotent",)"
                    R"("timeoutMs":4000,"targetLatencyMs":150,"priority":2,"service":"desk","maxAttempts":1,"public":)";
        addedText += added == AddedRoute::Public ? "true}," : "false},";
    }
    return "{\"version\":" + std::to_string(version) + ",\"routes\":[" + addedText
        + R"({"name":"r-action","host":"desk.example","prefix":"/action/","routeKind":"non_idempotent",)"
          R"("timeoutMs":4000,"targetLatencyMs":150,"priority":2,"service":"desk","maxAttempts":1,"public":false},)"
          R"({"name":"r-read","host":"desk.example","prefix":"/read/","routeKind":"idempotent","timeoutMs":4000,)"
          R"("targetLatencyMs":150,"priority":2,"service":"desk","maxAttempts":2,"public":false)"
        + R"(},{"name":"r-query","host":"desk.example","prefix":"/query/","routeKind":"stream","timeoutMs":20000,)"
          R"("targetLatencyMs":500,"priority":1,"service":"assistant","maxAttempts":2,"public":false,"sticky":true,)"
          R"("resumable":true,"gapAimMs":200}],"services":[{"name":"desk","healthPath":"/healthz",)"
          R"("maxConnections":208,"protocol":"h1","tls":false},{"name":"assistant","healthPath":"/healthz",)"
          R"("maxConnections":2444,"protocol":"h1","tls":false,"engine":{"slots":192,"kvCapacityTokens":100000,)"
          R"("tokenKvBytes":590000.0,"linkMbps":480000.0,"stride":2,"models":[{"name":"m","pace":1.0,"loadS":14.0,)"
          R"("warmS":1.0}],"step_ms":0.85,"per_seq_ms":0.00382,"context_per_k":0.00512,"read_per_s":196000.0,)"
          R"("pairs_per_m":0.166,"chunk":512,"report_lag_ms":200.0,"loadsPerS":0.0,"loads_at_once":6,"delays":[],)"
          R"("usual":{"prompt":772,"answer":167},"layers":1,"layerMb":1750.0,"activationBytes":29500,)"
          R"("pipeMbps":13000.0,"kinds":[{"name":"card","mb":72000.0,"pace":1.4,"readX":1.0}]}}],)"
          R"("limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},)"
          R"("tenants":[{"name":"school","apiKeys":["key-school"],"priority":1}]})";
}

} // namespace review

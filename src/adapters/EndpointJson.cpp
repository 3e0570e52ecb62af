// JSON of the calls and answers of engines.

#include "spindleadapters/internal/EndpointJson.h"

#include "JsonFields.h"

#include <array>

namespace jacinthspindle::internal {

namespace {

    template <typename Value> struct NamedValue {
        Value value;
        const char* name;
    };

    constexpr std::array<NamedValue<GenerationOutcome>, 4> faultNames { {
        { GenerationOutcome::ConnectFailed, "connect-failed" },
        { GenerationOutcome::StreamBroken, "stream-broken" },
        { GenerationOutcome::Stalled, "stalled" },
        { GenerationOutcome::Refused, "refused" },
    } };

    constexpr std::array<NamedValue<OrderKind>, 3> orderNames { {
        { OrderKind::LoadVersion, "load-version" },
        { OrderKind::LoadAdapter, "load-adapter" },
        { OrderKind::ChangeRole, "change-role" },
    } };

    template <typename Names, typename Value> const char* nameOf(const Names& names, Value value)
    {
        for (const auto& it : names) {
            if (it.value == value)
                return it.name;
        }
        return "";
    }

    template <typename Names> auto valueOf(const Names& names, const std::string& name)
    {
        for (const auto& it : names) {
            if (name == it.name)
                return it.value;
        }
        throw JsonError("unknown name");
    }

    Json layersJson(const LayerRange& layers)
    {
        return { { "first", layers.first }, { "end", layers.end } };
    }

    LayerRange layersOf(const Json& json)
    {
        return { numberOf<uint32_t>(json, "first"), numberOf<uint32_t>(json, "end") };
    }

    Json hopJson(const GenerationHop& hop)
    {
        return { { "endpoint", hop.stage.endpoint.value() }, { "address", hop.address },
            { "first", hop.stage.layers.first }, { "end", hop.stage.layers.end } };
    }

    GenerationHop hopOf(const Json& json)
    {
        return { { EndpointId(textOf(json, "endpoint")), layersOf(json) }, textOf(json, "address") };
    }

    Json proofJson(const StageProof& proof)
    {
        return { { "endpoint", proof.endpoint.value() }, { "first", proof.layers.first }, { "end", proof.layers.end },
            { "version", proof.version }, { "attempt", proof.attempt } };
    }

    StageProof proofOf(const Json& json)
    {
        return { EndpointId(textOf(json, "endpoint")), layersOf(json), textOf(json, "version"),
            numberOf<uint32_t>(json, "attempt") };
    }

    Json lineJson(const TokenEvent& event)
    {
        Json proof = Json::array();
        for (const auto& it : event.proof)
            proof.push_back(proofJson(it));
        return { { "request", event.request.value() }, { "attempt", event.attempt }, { "position", event.position },
            { "text", event.text }, { "isLast", event.isLast }, { "proof", std::move(proof) } };
    }

    Json lineJson(const StreamFault& fault)
    {
        return { { "fault",
            { { "endpoint", fault.endpoint.value() }, { "kind", nameOf(faultNames, fault.kind) },
                { "text", fault.text } } } };
    }

    TokenEvent eventOf(const Json& json)
    {
        TokenEvent event;
        event.request = RequestId(textOf(json, "request"));
        event.attempt = numberOf<uint32_t>(json, "attempt");
        event.position = numberOf<uint32_t>(json, "position");
        event.text = textOf(json, "text");
        event.isLast = flagOf(json, "isLast");
        for (const auto& it : listOf(json, "proof"))
            event.proof.push_back(proofOf(it));
        return event;
    }

    StreamFault faultOf(const Json& json)
    {
        return { EndpointId(textOf(json, "endpoint")), valueOf(faultNames, textOf(json, "kind")),
            textOf(json, "text") };
    }

    StreamLine lineOf(const Json& json)
    {
        if (json.is_object() && json.contains("fault"))
            return faultOf(json["fault"]);
        return eventOf(json);
    }

    GenerationCall callOf(const Json& json)
    {
        GenerationCall call;
        call.request = RequestId(textOf(json, "request"));
        call.attempt = numberOf<uint32_t>(json, "attempt");
        call.model = textOf(json, "model");
        call.version = textOf(json, "version");
        call.adapter = textOf(json, "adapter");
        call.prompt = textOf(json, "prompt");
        call.seed = numberOf<uint64_t>(json, "seed");
        call.firstPosition = numberOf<uint32_t>(json, "firstPosition");
        call.prefix = textOf(json, "prefix");
        call.maxTokens = numberOf<uint32_t>(json, "maxTokens");
        call.priority = numberOf<uint8_t>(json, "priority");
        for (const auto& it : listOf(json, "chain"))
            call.chain.push_back(hopOf(it));
        return call;
    }

    AttemptCall attemptOf(const Json& json)
    {
        return { RequestId(textOf(json, "request")), numberOf<uint32_t>(json, "attempt"),
            numberOf<uint8_t>(json, "priority") };
    }

    EngineStatus statusOf(const Json& json)
    {
        EngineStatus status;
        status.running = numberOf<uint32_t>(json, "running");
        status.waiting = numberOf<uint32_t>(json, "waiting");
        status.leaving = flagOf(json, "leaving");
        status.version = textOf(json, "version");
        status.cacheSequence = numberOf<uint64_t>(json, "cacheSequence");
        for (const auto& it : listOf(json, "cachedPrefixes"))
            status.cachedPrefixes.push_back(toNumber<uint64_t>(it));
        status.age = std::chrono::milliseconds(numberOf<uint32_t>(json, "ageMs"));
        return status;
    }

    EngineOrder orderOf(const Json& json)
    {
        EngineOrder order;
        order.kind = valueOf(orderNames, textOf(json, "kind"));
        order.endpoint = EndpointId(textOf(json, "endpoint"));
        order.value = textOf(json, "value");
        order.layers = layersOf(memberOf(json, "layers"));
        order.fence = numberOf<uint64_t>(json, "fence");
        return order;
    }

} // namespace

std::optional<std::string> encodeGenerationCall(const GenerationCall& call)
{
    Json chain = Json::array();
    for (const auto& it : call.chain)
        chain.push_back(hopJson(it));
    return dumpJson({ { "request", call.request.value() }, { "attempt", call.attempt }, { "model", call.model },
        { "version", call.version }, { "adapter", call.adapter }, { "prompt", call.prompt }, { "seed", call.seed },
        { "firstPosition", call.firstPosition }, { "prefix", call.prefix }, { "maxTokens", call.maxTokens },
        { "priority", call.priority }, { "chain", std::move(chain) } });
}

std::optional<GenerationCall> decodeGenerationCall(std::string_view json)
{
    return decodeJson(json, callOf);
}

std::optional<std::string> encodeStreamLine(const StreamLine& line)
{
    return dumpJson(std::visit([](const auto& it) { return lineJson(it); }, line));
}

std::optional<StreamLine> decodeStreamLine(std::string_view line)
{
    return decodeJson(line, lineOf);
}

std::optional<std::string> encodeAttemptCall(const AttemptCall& call)
{
    return dumpJson(
        { { "request", call.request.value() }, { "attempt", call.attempt }, { "priority", call.priority } });
}

std::optional<AttemptCall> decodeAttemptCall(std::string_view json)
{
    return decodeJson(json, attemptOf);
}

std::optional<std::string> encodeEngineStatus(const EngineStatus& status)
{
    return dumpJson({ { "running", status.running }, { "waiting", status.waiting }, { "leaving", status.leaving },
        { "version", status.version }, { "cacheSequence", status.cacheSequence },
        { "cachedPrefixes", status.cachedPrefixes },
        { "ageMs", std::chrono::floor<std::chrono::milliseconds>(status.age).count() } });
}

std::optional<EngineStatus> decodeEngineStatus(std::string_view json)
{
    return decodeJson(json, statusOf);
}

std::optional<std::string> encodeEngineOrder(const EngineOrder& order)
{
    return dumpJson({ { "kind", nameOf(orderNames, order.kind) }, { "endpoint", order.endpoint.value() },
        { "value", order.value }, { "layers", layersJson(order.layers) }, { "fence", order.fence } });
}

std::optional<EngineOrder> decodeEngineOrder(std::string_view json)
{
    return decodeJson(json, orderOf);
}

} // namespace jacinthspindle::internal

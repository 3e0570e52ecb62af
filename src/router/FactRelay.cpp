// Encoding of questions as targets and of answers as JSON.

#include "router/FactRelay.h"

#include "adapters/JsonFields.h"

#include <algorithm>
#include <cmath>

namespace jacinthspindle::router {

namespace {

    using internal::Json;
    using internal::numberOf;
    using internal::textOf;
    using std::chrono::milliseconds;

    constexpr std::string_view questionPath = "/facts/";

    Json encodeEndpoint(const EndpointSighting& it)
    {
        return Json::array({ it.endpoint.value(), it.instance, it.service, it.dataCentre.value(), it.address,
            it.accelerator, it.slots, it.isLeaving, it.layers.first, it.layers.end, it.heartbeats, it.pacePercent });
    }

    EndpointSighting decodeEndpoint(const Json& json)
    {
        constexpr size_t members = 12;
        if (!json.is_array() || json.size() != members)
            throw internal::JsonError("expected an endpoint");
        EndpointSighting it;
        it.endpoint = EndpointId(json[0].get<std::string>());
        it.instance = json[1].get<std::string>();
        it.service = json[2].get<std::string>();
        it.dataCentre = DataCentreId(json[3].get<std::string>());
        it.address = json[4].get<std::string>();
        if (!parseAddress(it.address))
            throw internal::JsonError("expected an address");
        it.accelerator = json[5].get<std::string>();
        it.slots = internal::toNumber<uint32_t>(json[6]);
        it.isLeaving = json[7].get<bool>();
        it.layers = { internal::toNumber<uint32_t>(json[8]), internal::toNumber<uint32_t>(json[9]) };
        if (it.layers.end > mostLayers)
            throw internal::JsonError("expected a range of layers");
        it.heartbeats = internal::toNumber<uint64_t>(json[10]);
        it.pacePercent = internal::toNumber<uint32_t>(json[11]);
        return it;
    }

    Json encodeEndpoints(const std::vector<EndpointSighting>& endpoints)
    {
        auto list = Json::array();
        for (const auto& it : endpoints)
            list.push_back(encodeEndpoint(it));
        return list;
    }

    std::vector<EndpointSighting> decodeEndpoints(const Json& json, const char* name)
    {
        std::vector<EndpointSighting> endpoints;
        for (const auto& it : internal::listOf(json, name))
            endpoints.push_back(decodeEndpoint(it));
        return endpoints;
    }

    Json encodeIds(const std::vector<EndpointId>& ids)
    {
        auto list = Json::array();
        for (const auto& it : ids)
            list.push_back(it.value());
        return list;
    }

    std::vector<EndpointId> decodeIds(const Json& json, const char* name)
    {
        std::vector<EndpointId> ids;
        for (const auto& it : internal::listOf(json, name))
            ids.emplace_back(it.get<std::string>());
        return ids;
    }

    Json encodeChanges(const EndpointChanges& changes)
    {
        return { { "since", changes.since }, { "updated", encodeEndpoints(changes.updated) },
            { "removed", encodeIds(changes.removed) } };
    }

    EndpointChanges decodeChanges(const Json& json)
    {
        return { numberOf<uint64_t>(json, "since"), decodeEndpoints(json, "updated"), decodeIds(json, "removed") };
    }

    Json encodeObservationList(const std::vector<EndpointObservation>& observations)
    {
        auto list = Json::array();
        for (const auto& it : observations)
            list.push_back(Json::array({ it.endpoint.value(), it.witness.value(), it.age.count() }));
        return list;
    }

    std::vector<EndpointObservation> decodeObservationList(const Json& json)
    {
        constexpr size_t members = 3;
        std::vector<EndpointObservation> observations;
        for (const auto& it : internal::listOf(json, "observations")) {
            if (!it.is_array() || it.size() != members)
                throw internal::JsonError("expected an observation");
            observations.push_back({ EndpointId(it[0].get<std::string>()), HostId(it[1].get<std::string>()),
                milliseconds(internal::toNumber<uint32_t>(it[2])) });
        }
        return observations;
    }

    milliseconds ageOf(const Json& json, const char* name)
    {
        return milliseconds(numberOf<uint32_t>(json, name));
    }

    uint32_t encodeAge(milliseconds age)
    {
        return static_cast<uint32_t>(std::clamp<int64_t>(age.count(), 0, std::numeric_limits<uint32_t>::max()));
    }

    Json encodeLoad(const std::vector<EndpointLoad>& load)
    {
        auto list = Json::array();
        for (const auto& it : load)
            list.push_back(Json::array({ it.endpoint.value(), it.running }));
        return list;
    }

    std::vector<EndpointLoad> decodeLoad(const Json& json)
    {
        std::vector<EndpointLoad> load;
        for (const auto& it : internal::listOf(json, "load")) {
            if (!it.is_array() || it.size() != 2)
                throw internal::JsonError("expected the load of an endpoint");
            load.push_back({ EndpointId(it[0].get<std::string>()), internal::toNumber<uint16_t>(it[1]) });
        }
        return load;
    }

    // A figure of a rate or an amount; the sums of other daemons are used as they are.
    double figureOf(const Json& json)
    {
        constexpr double most = 1e9;
        double figure = json.get<double>();
        if (!(figure >= 0 && figure <= most))
            throw internal::JsonError("expected a figure of pressure");
        return figure;
    }

    Json encodePressure(const std::vector<ModelPressure>& models)
    {
        auto list = Json::array();
        for (const auto& model : models) {
            auto loads = Json::array();
            for (const auto& it : model.loads)
                loads.push_back(Json::array(
                    { it.priority, std::round(it.unreadTokens), std::round(it.demand), std::round(it.begun) }));
            list.push_back(Json::array({ model.model.value(), std::move(loads) }));
        }
        return list;
    }

    std::vector<ModelPressure> decodePressure(const Json& json)
    {
        constexpr size_t members = 4;
        std::vector<ModelPressure> models;
        for (const auto& model : internal::listOf(json, "pressure")) {
            if (!model.is_array() || model.size() != 2 || !model[1].is_array())
                throw internal::JsonError("expected the pressure on a model");
            models.push_back({ RouteId(model[0].get<std::string>()), {} });
            for (const auto& it : model[1]) {
                if (!it.is_array() || it.size() != members)
                    throw internal::JsonError("expected the load of a priority");
                models.back().loads.push_back(
                    { internal::toNumber<uint8_t>(it[0]), figureOf(it[1]), figureOf(it[2]), figureOf(it[3]) });
            }
        }
        return models;
    }

    Facts decode(const Json& json)
    {
        Facts facts;
        facts.source = textOf(json, "source");
        facts.news = numberOf<uint64_t>(json, "news");
        facts.isReader = internal::flagOf(json, "is_reader");
        facts.reader = textOf(json, "reader");
        facts.isWaiting = json.contains("is_waiting") && internal::flagOf(json, "is_waiting");
        facts.hosts = numberOf<uint32_t>(json, "hosts");
        facts.configurationVersion = numberOf<uint64_t>(json, "configuration_version");
        facts.configurationAge = ageOf(json, "configuration_age_ms");
        if (json.contains("configuration"))
            facts.configurationDocument = textOf(json, "configuration");
        facts.endpointsRevision = numberOf<uint64_t>(json, "endpoints_revision");
        facts.endpointsAge = ageOf(json, "endpoints_age_ms");
        if (json.contains("endpoints"))
            facts.endpoints = decodeEndpoints(json, "endpoints");
        if (json.contains("changes"))
            facts.changes = decodeChanges(internal::memberOf(json, "changes"));
        if (json.contains("endpoints_digest"))
            facts.endpointsDigest = numberOf<uint64_t>(json, "endpoints_digest");
        if (json.contains("waited_ms"))
            facts.waited = ageOf(json, "waited_ms");
        if (json.contains("returned_since_ms"))
            facts.returnedSince = ageOf(json, "returned_since_ms");
        if (json.contains("observations")) {
            facts.observations = decodeObservationList(json);
            facts.observation = numberOf<uint64_t>(json, "observation");
        }
        facts.peers = numberOf<uint32_t>(json, "peers");
        if (json.contains("load"))
            facts.load = decodeLoad(json);
        if (json.contains("pressure"))
            facts.pressure = decodePressure(json);
        return facts;
    }

    // Splits off the part before the next slash.
    std::string_view takePart(std::string_view& text)
    {
        auto slash = text.find('/');
        auto part = text.substr(0, slash);
        text = slash == std::string_view::npos ? std::string_view() : text.substr(slash + 1);
        return part;
    }

    bool takeNumber(std::string_view& text, uint64_t& number)
    {
        auto parsed = parseNumber<uint64_t>(takePart(text));
        number = parsed.value_or(0);
        return parsed.has_value();
    }

} // namespace

std::string encodeQuestion(const FactQuestion& question)
{
    return std::string(questionPath) + std::to_string(question.news) + '/'
        + std::to_string(question.configurationVersion) + '/' + std::to_string(question.endpointsRevision) + '/'
        + (question.wantsHeartbeats ? "1/" : "0/") + question.source;
}

std::string encodeOwnLoad(const FactQuestion& question)
{
    Json json { { "asker", question.asker }, { "load", encodeLoad(question.load) } };
    if (question.acceptsChanges) {
        json["accepts_changes"] = true;
        json["host"] = question.host.value();
        json["is_reader"] = question.isReader;
        json["observation"] = question.observation;
        json["heartbeats_of"] = encodeIds(question.heartbeatsOf);
    }
    if (!question.pressure.empty())
        json["pressure"] = encodePressure(question.pressure);
    return internal::dumpJson(json).value_or(std::string());
}

std::optional<FactQuestion> decodeQuestion(std::string_view target, std::string_view body)
{
    if (!target.starts_with(questionPath))
        return std::nullopt;
    target.remove_prefix(questionPath.size());
    FactQuestion question;
    uint64_t wantsHeartbeats = 0;
    if (!takeNumber(target, question.news) || !takeNumber(target, question.configurationVersion)
        || !takeNumber(target, question.endpointsRevision) || !takeNumber(target, wantsHeartbeats))
        return std::nullopt;
    question.wantsHeartbeats = wantsHeartbeats != 0;
    question.source = std::string(target);
    if (body.empty())
        return question;
    return internal::decodeJson(body, [&](const Json& json) {
        question.asker = textOf(json, "asker");
        question.load = decodeLoad(json);
        if (json.contains("accepts_changes")) {
            question.acceptsChanges = internal::flagOf(json, "accepts_changes");
            question.host = HostId(textOf(json, "host"));
            question.isReader = internal::flagOf(json, "is_reader");
            question.observation = numberOf<uint64_t>(json, "observation");
            question.heartbeatsOf = decodeIds(json, "heartbeats_of");
        }
        if (json.contains("pressure"))
            question.pressure = decodePressure(json);
        return question;
    });
}

std::string encodeFacts(const Facts& facts)
{
    Json json { { "source", facts.source }, { "news", facts.news }, { "is_reader", facts.isReader },
        { "reader", facts.reader }, { "is_waiting", facts.isWaiting }, { "hosts", facts.hosts },
        { "peers", facts.peers }, { "configuration_version", facts.configurationVersion },
        { "configuration_age_ms", encodeAge(facts.configurationAge) },
        { "endpoints_revision", facts.endpointsRevision }, { "endpoints_age_ms", encodeAge(facts.endpointsAge) } };
    if (facts.configurationDocument)
        json["configuration"] = *facts.configurationDocument;
    if (facts.endpoints)
        json["endpoints"] = encodeEndpoints(*facts.endpoints);
    if (facts.changes)
        json["changes"] = encodeChanges(*facts.changes);
    if (facts.observation) {
        json["observations"] = encodeObservationList(facts.observations);
        json["observation"] = facts.observation;
    }
    if (facts.endpointsDigest)
        json["endpoints_digest"] = *facts.endpointsDigest;
    if (facts.waited)
        json["waited_ms"] = encodeAge(*facts.waited);
    if (facts.returnedSince)
        json["returned_since_ms"] = encodeAge(*facts.returnedSince);
    if (facts.load)
        json["load"] = encodeLoad(*facts.load);
    if (!facts.pressure.empty())
        json["pressure"] = encodePressure(facts.pressure);
    // Names that are not UTF-8 were refused when the platform's answers were decoded.
    return internal::dumpJson(json).value_or(std::string());
}

std::string encodeObservations(const std::vector<EndpointObservation>& observations)
{
    return internal::dumpJson(Json { { "observations", encodeObservationList(observations) } }).value_or(std::string());
}

std::optional<std::vector<EndpointObservation>> decodeObservations(std::string_view body)
{
    return internal::decodeJson(body, decodeObservationList);
}

std::optional<Facts> decodeFacts(std::string_view text)
{
    return internal::decodeJson(text, decode);
}

} // namespace jacinthspindle::router

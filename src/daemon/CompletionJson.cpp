// Parsing and writing of completion bodies with nlohmann-json.

#include "daemon/CompletionJson.h"

#include <nlohmann/json.hpp>

namespace jacinthspindle::daemon {

namespace {

    using Json = nlohmann::json;

    constexpr int maxJsonDepth = 16;
    constexpr size_t maxModelLength = 64;
    constexpr size_t maxMessages = 4096;

    // Thrown inside the parser and turned into a Reason at its border.
    struct BodyFault {
        std::string text;
    };

    [[noreturn]] void fail(const std::string& text)
    {
        throw BodyFault { text };
    }

    std::string contentText(const Json& content)
    {
        if (content.is_string())
            return content.get<std::string>();
        if (!content.is_array())
            fail("'content' must be a string or an array of text parts");
        std::string text;
        for (const auto& part : content) {
            bool isText = part.is_object() && part.value("type", Json()) == "text" && part.contains("text")
                && part["text"].is_string();
            if (!isText)
                fail("a part of 'content' is not of the type 'text'");
            text += part["text"].get<std::string>();
        }
        return text;
    }

    std::string chatPrompt(const Json& body)
    {
        auto messages = body.find("messages");
        if (messages == body.end() || !messages->is_array() || messages->empty())
            fail("'messages' must be an array with at least one message");
        if (messages->size() > maxMessages)
            fail("'messages' has more than " + std::to_string(maxMessages) + " entries");
        std::string prompt;
        for (const auto& it : *messages) {
            bool isMessage = it.is_object() && it.contains("role") && it["role"].is_string() && it.contains("content");
            if (!isMessage)
                fail("a message needs 'role' and 'content'");
            prompt += it["role"].get<std::string>() + ": " + contentText(it["content"]) + "\n";
        }
        return prompt;
    }

    std::string textPrompt(const Json& body)
    {
        auto prompt = body.find("prompt");
        if (prompt == body.end() || !prompt->is_string())
            fail("'prompt' must be a string");
        return prompt->get<std::string>();
    }

    std::optional<uint64_t> wholeNumber(const Json& body, const char* name, uint64_t least, uint64_t most)
    {
        auto member = body.find(name);
        if (member == body.end() || member->is_null())
            return std::nullopt;
        bool isValid
            = member->is_number_unsigned() && member->get<uint64_t>() >= least && member->get<uint64_t>() <= most;
        if (!isValid)
            fail("'" + std::string(name) + "' must be a whole number of " + std::to_string(least) + "-"
                + std::to_string(most));
        return member->get<uint64_t>();
    }

    // Members that would change the answer but that the engines' interface cannot carry are refused, not ignored.
    void refuseUnsupported(const Json& body)
    {
        for (const char* name : { "tools", "functions", "stop", "logprobs", "best_of", "suffix", "echo" }) {
            auto member = body.find(name);
            bool isUnset = member == body.end() || member->is_null() || (member->is_boolean() && !member->get<bool>());
            if (!isUnset)
                fail("'" + std::string(name) + "' is not supported");
        }
        wholeNumber(body, "n", 1, 1);
    }

    Json parseBounded(std::string_view bytes)
    {
        bool isTooDeep = false;
        auto bound = [&](int depth, Json::parse_event_t, Json&) {
            isTooDeep = isTooDeep || depth > maxJsonDepth;
            return !isTooDeep;
        };
        auto body = Json::parse(bytes, bound, false);
        if (isTooDeep)
            fail("the body is nested more than " + std::to_string(maxJsonDepth) + " deep");
        if (body.is_discarded() || !body.is_object())
            fail("the body is not a JSON object");
        return body;
    }

    CompletionRequest parseBody(CompletionForm form, std::string_view bytes)
    {
        auto body = parseBounded(bytes);
        refuseUnsupported(body);
        CompletionRequest request;
        request.form = form;
        auto model = body.find("model");
        if (model == body.end() || !model->is_string() || model->get_ref<const std::string&>().empty()
            || model->get_ref<const std::string&>().size() > maxModelLength)
            fail("'model' must name the route in 1-64 bytes");
        request.route = RouteId(model->get<std::string>());
        request.prompt = form == CompletionForm::Chat ? chatPrompt(body) : textPrompt(body);
        auto maxTokens = wholeNumber(body, "max_completion_tokens", 1, maxRequestedTokens);
        if (!maxTokens)
            maxTokens = wholeNumber(body, "max_tokens", 1, maxRequestedTokens);
        if (maxTokens)
            request.maxTokens = static_cast<uint32_t>(*maxTokens);
        request.seed = wholeNumber(body, "seed", 0, UINT64_MAX);
        auto stream = body.find("stream");
        if (stream != body.end() && !stream->is_boolean() && !stream->is_null())
            fail("'stream' must be true or false");
        request.isStream = stream != body.end() && stream->is_boolean() && stream->get<bool>();
        return request;
    }

    Json finishJson(FinishReason reason)
    {
        switch (reason) {
        case FinishReason::Stop:
            return "stop";
        case FinishReason::Length:
            return "length";
        case FinishReason::None:
            break;
        }
        return nullptr;
    }

    Json headJson(const CompletionIdentity& identity, const char* chatObject)
    {
        bool isChat = identity.form == CompletionForm::Chat;
        return { { "id", (isChat ? "chatcmpl-" : "cmpl-") + identity.request.value() },
            { "object", isChat ? chatObject : "text_completion" }, { "created", identity.createdSeconds },
            { "model", identity.route.value() } };
    }

    std::string dumpLossy(const Json& json)
    {
        return json.dump(-1, ' ', false, Json::error_handler_t::replace);
    }

} // namespace

std::optional<CompletionRequest> parseCompletion(CompletionForm form, std::string_view body, Reason& reason)
{
    try {
        return parseBody(form, body);
    } catch (const BodyFault& fault) {
        reason = { ResultCode::RequestMalformed, fault.text };
    } catch (const Json::exception& error) {
        reason = { ResultCode::RequestMalformed, error.what() };
    }
    return std::nullopt;
}

ChunkWriter::ChunkWriter(const CompletionIdentity& identity)
    : m_isChat(identity.form == CompletionForm::Chat)
    , m_head(dumpLossy(headJson(identity, "chat.completion.chunk")))
{
    m_head.pop_back();
    m_head += ",\"choices\":[{\"index\":0,";
}

std::string ChunkWriter::chunk(const std::string& choice) const
{
    return m_head + choice + "}]}";
}

std::string ChunkWriter::tokenChunk(const std::string& text, bool isFirst) const
{
    auto quoted = dumpLossy(Json(text));
    if (!m_isChat)
        return chunk("\"text\":" + quoted + ",\"logprobs\":null,\"finish_reason\":null");
    const char* role = isFirst ? "\"role\":\"assistant\"," : "";
    return chunk(std::string("\"delta\":{") + role + "\"content\":" + quoted + "},\"finish_reason\":null");
}

std::string ChunkWriter::finishChunk(bool isFirst, FinishReason finishReason) const
{
    auto reason = "\"finish_reason\":" + finishJson(finishReason).dump();
    if (!m_isChat)
        return chunk("\"text\":\"\",\"logprobs\":null," + reason);
    const char* role = isFirst ? "\"role\":\"assistant\"" : "";
    return chunk(std::string("\"delta\":{") + role + "}," + reason);
}

std::string answerJson(const CompletionIdentity& identity, const std::string& text, FinishReason finishReason,
    const CompletionUsage& usage)
{
    auto json = headJson(identity, "chat.completion");
    Json choice = { { "index", 0 }, { "finish_reason", finishJson(finishReason) }, { "logprobs", nullptr } };
    if (identity.form == CompletionForm::Text)
        choice["text"] = text;
    else
        choice["message"] = { { "role", "assistant" }, { "content", text } };
    json["choices"] = Json::array({ std::move(choice) });
    json["usage"] = { { "prompt_tokens", usage.promptTokens }, { "completion_tokens", usage.completionTokens },
        { "total_tokens", usage.promptTokens + usage.completionTokens } };
    return dumpLossy(json);
}

std::string problemJson(const Problem& problem)
{
    Json json = { { "type", "urn:jacinthspindle:problem:" + std::string(resultName(problem.code)) },
        { "title", resultName(problem.code) }, { "status", httpStatus(problem.code) },
        { "code", static_cast<unsigned>(problem.code) }, { "name", resultName(problem.code) },
        { "ran", executionName(problem.ran) } };
    if (!problem.detail.empty())
        json["detail"] = problem.detail;
    if (!problem.request.isEmpty())
        json["request"] = problem.request.value();
    if (problem.retryAfter > Duration::zero())
        json["retryAfterMs"] = std::chrono::ceil<std::chrono::milliseconds>(problem.retryAfter).count();
    return dumpLossy(json);
}

} // namespace jacinthspindle::daemon

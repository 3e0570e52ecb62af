// Tests of completion bodies, trace contexts and problem documents with bad input.

#include "daemon/CompletionJson.h"
#include "daemon/Identities.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

using namespace jacinthspindle;
using namespace jacinthspindle::daemon;

TEST_CASE("a chat body keeps roles, text parts, bounds and seed")
{
    Reason reason;
    auto request = parseCompletion(CompletionForm::Chat,
        R"({"model":"assistant","max_tokens":7,"seed":9,"stream":true,"messages":[{"role":"system","content":"be kind"},
            {"role":"user","content":[{"type":"text","text":"sal"},{"type":"text","text":"aam"}]}]})",
        reason);
    REQUIRE_MESSAGE(request, reason.text);
    CHECK(request->prompt == "system: be kind\nuser: salaam\n");
    CHECK(request->maxTokens == 7);
    CHECK(request->seed == 9);
    CHECK(request->isStream);
}

TEST_CASE("malformed and hostile bodies are refused with code 300 and a text")
{
    const std::string nested = std::string(100000, '[') + std::string(100000, ']');
    const std::string bodies[] = { "", "null", "[]", "{", "{}", "\xff\xfe", R"({"model":"a"})",
        R"({"model":1,"messages":[{"role":"user","content":"x"}]})", R"({"model":"","messages":[]})",
        R"({"model":"a","messages":"x"})", R"({"model":"a","messages":[1]})",
        R"({"model":"a","messages":[{"role":1}]})", R"({"model":"a","messages":[{"role":"user","content":7}]})",
        R"({"model":"a","messages":[{"role":"user","content":[{"type":"image_url"}]}]})",
        R"({"model":"a","max_tokens":0,"messages":[{"role":"user","content":"x"}]})",
        R"({"model":"a","max_tokens":-1,"messages":[{"role":"user","content":"x"}]})",
        R"({"model":"a","max_tokens":1e30,"messages":[{"role":"user","content":"x"}]})",
        R"({"model":"a","seed":1.5,"messages":[{"role":"user","content":"x"}]})",
        R"({"model":"a","n":2,"messages":[{"role":"user","content":"x"}]})",
        R"({"model":"a","tools":[{}],"messages":[{"role":"user","content":"x"}]})",
        R"({"model":"a","stream":"yes","messages":[{"role":"user","content":"x"}]})",
        R"({"model":")" + std::string(65, 'a') + R"(","messages":[{"role":"user","content":"x"}]})", nested,
        R"({"model":"a","messages":)" + nested + "}" };
    for (const auto& it : bodies) {
        CAPTURE(it.substr(0, 100));
        Reason reason;
        CHECK_FALSE(parseCompletion(CompletionForm::Chat, it, reason));
        CHECK(reason.code == ResultCode::RequestMalformed);
        CHECK_FALSE(reason.text.empty());
    }
    Reason reason;
    CHECK_FALSE(parseCompletion(CompletionForm::Text, R"({"model":"a","prompt":["x"]})", reason));
}

TEST_CASE("chunks are JSON documents whatever the bytes of a token are")
{
    for (auto form : { CompletionForm::Chat, CompletionForm::Text }) {
        ChunkWriter writer({ form, RequestId("r\"1"), RouteId("assistant"), 1 });
        for (bool isFirst : { true, false }) {
            for (const std::string& text :
                { std::string("salaam"), std::string("\xd8 broken"), std::string("\"}],\n\0", 6) }) {
                auto chunk = nlohmann::json::parse(writer.tokenChunk(text, isFirst), nullptr, false);
                REQUIRE(chunk.is_object());
                const auto& choice = chunk["choices"][0];
                CHECK(choice["finish_reason"].is_null());
                CHECK((form == CompletionForm::Chat ? choice["delta"]["content"] : choice["text"]).is_string());
                CHECK(choice.value("delta", nlohmann::json::object()).contains("role")
                    == (isFirst && form == CompletionForm::Chat));
            }
            auto last = nlohmann::json::parse(writer.finishChunk(isFirst, FinishReason::Length), nullptr, false);
            REQUIRE(last.is_object());
            CHECK(last["choices"][0]["finish_reason"] == "length");
        }
    }
}

TEST_CASE("a problem names code, name, whether it ran and the hint")
{
    auto json = problemJson(
        { ResultCode::LimitExceeded, Execution::NotRun, "over", std::chrono::milliseconds(1500), RequestId("r1") });
    for (const char* part : { "\"code\":304", "\"name\":\"limit-exceeded\"", "\"ran\":\"not run\"", "\"status\":429",
             "\"retryAfterMs\":1500", "\"request\":\"r1\"" })
        CHECK_MESSAGE(json.find(part) != std::string::npos, part);
}

TEST_CASE("a valid traceparent is continued and an invalid one is ignored")
{
    Identities identities(HostId("entry-1"), 1, 42);
    auto parent = parseTraceParent("00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01");
    REQUIRE(parent);
    auto child = identities.childOf(parent);
    CHECK(child.traceId == parent->traceId);
    CHECK(child.spanId != parent->spanId);
    CHECK(parseTraceParent(child.text()));
    for (const char* text : { "", "00", "00-00000000000000000000000000000000-00f067aa0ba902b7-01",
             "00-4bf92f3577b34da6a3ce929d0e0e4736-0000000000000000-01",
             "ff-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01",
             "00-4BF92F3577B34DA6A3CE929D0E0E4736-00f067aa0ba902b7-01",
             "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01-x",
             "00-4bf92f3577b34da6a3ce929d0e0e4736_00f067aa0ba902b7-01" }) {
        CAPTURE(text);
        CHECK_FALSE(parseTraceParent(text));
    }
    CHECK(identities.childOf(std::nullopt).traceId != child.traceId);
    CHECK(identities.nextRequest() != identities.nextRequest());
}

// Tests of the codecs of action rows, order leases and the trace payloads of the protocol machines.

#include <doctest/doctest.h>
#include <spindleadapters/spindleadapters.h>

using namespace jacinthspindle;

namespace {

ActionRow sampleRow()
{
    ActionRow row;
    row.state = ActionState::Done;
    row.epoch = 3;
    row.attempt = { HostId("entry-1"), 7, 9 };
    row.bodyDigest = "digest";
    row.endpoint = EndpointId("catalogue-1");
    row.capabilities = { true, true, false };
    row.answer = { ServiceOutcome::Answered, 200, "text/plain", "done" };
    return row;
}

} // namespace

TEST_CASE("an action row keeps its bytes, so that rows of older daemons stay readable")
{
    Reason reason;
    auto bytes = encodeActionRow(sampleRow());
    CHECK(decodeActionRow(bytes, reason) == sampleRow());
    using namespace std::string_literals;
    const auto expected = "\x99\x01\x01\x03\x93\x91\xc4\x07"s + "entry-1" + "\x07\x09\xc4\x06" + "digest"
        + "\x91\xc4\x0b" + "catalogue-1" + "\x93\xc3\xc3\xc2\x94\x00\xcc\xc8\xc4\x0a"s + "text/plain" + "\xc4\x04"
        + "done" + "\xc2";
    CHECK(bytes == expected);
}

TEST_CASE("a damaged, oversized or undefined row is refused with a numbered error")
{
    auto refused = [](const std::string& bytes) {
        Reason reason;
        bool isRefused = !decodeActionRow(bytes, reason);
        return isRefused && reason.code == ResultCode::PlatformAnswerMalformed;
    };
    const auto bytes = encodeActionRow(sampleRow());
    for (size_t n = 0; n < bytes.size(); ++n)
        CHECK_MESSAGE(refused(bytes.substr(0, n)), "first ", n, " bytes");
    CHECK(refused(bytes + "x"));
    auto row = sampleRow();
    row.answer.body.assign(maxActionRowBytes, 'x');
    CHECK(refused(encodeActionRow(row)));
    row = sampleRow();
    row.format = actionRowFormat + 1;
    CHECK(refused(encodeActionRow(row)));
    row = sampleRow();
    row.state = static_cast<ActionState>(3);
    CHECK(refused(encodeActionRow(row)));
    row = sampleRow();
    row.epoch = 0;
    CHECK(refused(encodeActionRow(row)));
}

TEST_CASE("a damaged row reaches the machine as found but not readable")
{
    Reason reason;
    ReadAnswer answer { ReadOutcome::Found, { "action/a/k", "garbage", 4 } };
    auto input = toRowRead({ 2, "action/a/k" }, answer, reason);
    CHECK(input.step == 2);
    CHECK(input.version == 4);
    CHECK_FALSE(input.row);
    CHECK(reason.code == ResultCode::PlatformAnswerMalformed);
}

TEST_CASE("a claim over an absent row also depends on the ledger's floor")
{
    WriteRow write { 1, "action/a/k", 0, sampleRow(), "action-floor/a", 5 };
    auto transaction = toTransaction(write);
    REQUIRE(transaction.preconditions.size() == 2);
    CHECK(transaction.preconditions[1].key == "action-floor/a");
    CHECK(transaction.preconditions[1].version == 5);
}

TEST_CASE("inputs and outputs of the protocol machines survive the trace")
{
    Reason reason;
    ActionOutput action = AnswerCaller { 4, Execution::Unknown, ResultCode::OutcomeUnknown, Settlement::AskEndpoint,
        false, {}, false, WriteRow { 3, "action/a/k", 2, sampleRow(), {}, 0 } };
    CHECK(decodeActionOutput(encodeActionOutput(action), reason) == action);
    auto read = decodeActionInput(encodeActionInput(RowRead { 1, ReadOutcome::Found, sampleRow(), 8 }), reason);
    REQUIRE(read);
    CHECK(std::get<RowRead>(*read).row == sampleRow());
    OrderLease lease { orderLeaseFormat, HostId("h"), 1, 2,
        { { EndpointId("e"), OrderKind::ChangeRole, "m", { 1, 3 } } } };
    CHECK(decodeOrderLease(encodeOrderLease(lease), reason) == lease);
    OrderOutput order = WriteLease { 1, "order/north", 6, lease };
    CHECK(decodeOrderOutput(encodeOrderOutput(order), reason) == order);
    REQUIRE(decodeOrderInput(
        encodeOrderInput(EngineSeen { EndpointId("e"), true, true, "v1", { "a" }, { 0, 4 }, 3 }), reason));
    REQUIRE(decodeStreamInput(encodeStreamInput(AttemptExpected { 2, {}, "v1", 7 }), reason));
    StreamOutput stream = Dropped { TokenDrop::Gap, 5, 2 };
    CHECK(decodeStreamOutput(encodeStreamOutput(stream), reason) == stream);
    CHECK_FALSE(decodeActionInput("garbage", reason));
    CHECK(reason.code == ResultCode::TraceMalformed);
}

#include "duty/ordercodec.h"

#include <array>

#include <nlohmann/json.hpp>

#include "core/errorcode.h"
#include "core/parsejson.h"

namespace cowsliphead::ordercodec
{

namespace
{

struct ActionName {
    OrderAction action_;
    const char *name_;
};

constexpr std::array ActionNames = {
    ActionName{ OrderAction::LoadModel, "load_model" },
    ActionName{ OrderAction::ChangeRole, "change_role" },
    ActionName{ OrderAction::AcquireEndpoint, "acquire_endpoint" },
    ActionName{ OrderAction::ReleaseEndpoint, "release_endpoint" },
};

nlohmann::json orderToJson(const Order &order)
{
    const auto *named = ActionNames.data();
    while (named->action_ != order.action_) {
        ++named;
    }
    return {
        { "target", order.target_ }, { "action", named->name_ }, { "subject", order.subject_ }, { "fencing", order.fencing_ }, { "sequence", order.sequence_ },
    };
}

/// Throws nlohmann::json::exception if the document holds no order of a known action.
Order orderFromJson(const nlohmann::json &document)
{
    nlohmann::json actions;
    for (const auto &known : ActionNames) {
        actions[known.name_] = static_cast<int>(known.action_);
    }
    Order order;
    document.at("target").get_to(order.target_);
    order.action_ = static_cast<OrderAction>(actions.at(document.at("action").get<std::string>()).get<int>());
    document.at("subject").get_to(order.subject_);
    document.at("fencing").get_to(order.fencing_);
    document.at("sequence").get_to(order.sequence_);
    return order;
}

} // namespace

std::string encodeOrder(const Order &order)
{
    return orderToJson(order).dump();
}

Result<Order> decodeOrder(const std::string &text)
{
    try {
        return orderFromJson(parseJson(text));
    } catch (const nlohmann::json::exception &) {
        return failure(ErrorCode::CodecMalformed);
    }
}

std::string encodeIntent(const OrderIntent &intent)
{
    return nlohmann::json{ { "order", orderToJson(intent.order_) }, { "done", intent.isDone_ } }.dump();
}

Result<OrderIntent> decodeIntent(const std::string &text)
{
    try {
        const auto document = parseJson(text);
        return OrderIntent{ orderFromJson(document.at("order")), document.at("done").get<bool>() };
    } catch (const nlohmann::json::exception &) {
        return failure(ErrorCode::CodecMalformed);
    }
}

} // namespace cowsliphead::ordercodec

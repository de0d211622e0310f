#include "http/responseheadobserver.h"

#include <string>
#include <string_view>
#include <utility>

#include <event2/buffer.h>
#include <event2/bufferevent.h>

namespace cowsliphead
{

namespace
{

constexpr int FirstFinalStatus = 200;

} // namespace

ResponseHeadObserver::ResponseHeadObserver(bufferevent *connection)
    : connection_(connection)
{
    evbuffer_add_cb(bufferevent_get_input(connection_), &ResponseHeadObserver::onInputChanged, this);
}

ResponseHeadObserver::~ResponseHeadObserver()
{
    release();
}

void ResponseHeadObserver::release()
{
    if (connection_ != nullptr) {
        evbuffer_remove_cb(bufferevent_get_input(std::exchange(connection_, nullptr)), &ResponseHeadObserver::onInputChanged, this);
    }
}

void ResponseHeadObserver::onInputChanged(evbuffer *input, const evbuffer_cb_info *info, void *self)
{
    if (info->n_added > 0) {
        static_cast<ResponseHeadObserver *>(self)->add(input, info->n_added);
    }
}

void ResponseHeadObserver::add(evbuffer *input, std::size_t count)
{
    if (!check_.isValid() || check_.isEnded()) {
        return;
    }
    evbuffer_ptr added;
    evbuffer_ptr_set(input, &added, evbuffer_get_length(input) - count, EVBUFFER_PTR_SET);
    std::string bytes(count, '\0');
    evbuffer_copyout_from(input, &added, bytes.data(), bytes.size());
    std::string_view left = bytes;
    while (!left.empty() && check_.isValid() && !check_.isEnded()) {
        left.remove_prefix(check_.add(left));
        if (check_.isValid() && check_.isEnded() && check_.status() < FirstFinalStatus) {
            check_ = {};
        }
    }
}

} // namespace cowsliphead

#include "http/http_client.hpp"
#include "http/internal/held_body_meter.hpp"
#include "http/internal/response_head_reader.hpp"

#include <asio/dispatch.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <asio/strand.hpp>

#include <algorithm>
#include <curl/curl.h>
#include <map>
#include <unordered_map>
#include <utility>
#include <vector>

namespace bilberrytally::http
{
namespace
{
//! Connections that were idle for longer, in seconds, are not reused.
constexpr long max_idle_s = 2;
//! libcurl handles kept for later transfers.
constexpr std::size_t max_pooled_handles = 256;

//! A transfer in progress.
struct transfer
{
    std::uint64_t id{0};
    CURL* handle{nullptr};
    curl_slist* headers{nullptr};
    transfer_request request;
    transfer_handler on_done;
    response received;
    std::uint64_t held_bytes{0};
    //! How often libcurl has been about to send the request.
    unsigned sends{0};
    bool too_large{false};
    //! libcurl accepts more than what is well-formed.
    response_head_reader head;
    class curl_client* owner{nullptr};
};

//! A socket that libcurl uses: the events that libcurl wants to be told of and
//! the waits that are pending.
struct open_socket
{
    asio::ip::tcp::socket socket;
    bool want_read{false};
    bool want_write{false};
    bool reading{false};
    bool writing{false};
};

//! Runs libcurl's multi interface on a strand. libcurl is told of ready sockets
//! and expired timers through asio.
class curl_client : public http_client
{
public:
    curl_client(asio::io_context& context, const client_limits& limits)
        : context(context), strand(asio::make_strand(context)),
          timer(this->strand), limits(limits),
          held(limits.max_held_bytes, limits.room_for_responses),
          multi(curl_multi_init())
    {
        curl_multi_setopt(this->multi, CURLMOPT_SOCKETFUNCTION, on_socket);
        curl_multi_setopt(this->multi, CURLMOPT_SOCKETDATA, this);
        curl_multi_setopt(this->multi, CURLMOPT_TIMERFUNCTION, on_timer);
        curl_multi_setopt(this->multi, CURLMOPT_TIMERDATA, this);
        this->apply_connections(limits.connections_per_host);
    }

    ~curl_client() override
    {
        for (auto& [id, item] : this->transfers)
        {
            curl_multi_remove_handle(this->multi, item->handle);
            this->release(*item);
        }
        for (auto* handle : this->handle_pool)
        {
            curl_easy_cleanup(handle);
        }
        curl_multi_cleanup(this->multi);
    }

    curl_client(const curl_client&) = delete;
    curl_client& operator=(const curl_client&) = delete;

    std::uint64_t
    start(transfer_request request, transfer_handler on_done) override
    {
        const auto id = ++this->last_id;
        auto new_transfer = std::make_unique<transfer>();
        new_transfer->id = id;
        new_transfer->request = std::move(request);
        new_transfer->on_done = std::move(on_done);
        new_transfer->owner = this;
        asio::post(
            this->strand, [this, item = std::move(new_transfer)]() mutable
            { this->begin(std::move(item)); });
        return id;
    }

    void cancel(std::uint64_t id) override
    {
        asio::post(
            this->strand,
            [this, id]
            {
                const auto found = this->transfers.find(id);
                if (found != this->transfers.end())
                {
                    this->finish(*found->second, transfer_outcome::cancelled);
                }
            });
    }

    std::uint64_t held_bytes() const override
    {
        return this->held.total();
    }

    void set_connections_per_host(std::uint32_t connections) override
    {
        asio::post(
            this->strand,
            [this, connections] { this->apply_connections(connections); });
    }

private:
    using socket_ptr = std::shared_ptr<open_socket>;

    void apply_connections(std::uint32_t connections)
    {
        curl_multi_setopt(
            this->multi, CURLMOPT_MAX_HOST_CONNECTIONS,
            static_cast<long>(connections));
        curl_multi_setopt(
            this->multi, CURLMOPT_MAXCONNECTS, static_cast<long>(connections));
    }

    void begin(std::unique_ptr<transfer> item)
    {
        item->handle = this->take_handle();
        this->configure(*item);
        auto& stored = *item;
        this->transfers.emplace(stored.id, std::move(item));
        curl_multi_add_handle(this->multi, stored.handle);
    }

    CURL* take_handle()
    {
        if (this->handle_pool.empty())
        {
            return curl_easy_init();
        }
        auto* handle = this->handle_pool.back();
        this->handle_pool.pop_back();
        curl_easy_reset(handle);
        return handle;
    }

    void configure(transfer& item)
    {
        auto* handle = item.handle;
        const auto& request = item.request;
        const auto url =
            "http://" + request.host + ":" + std::to_string(request.port) + "/";
        const auto set = [&](CURLoption option, auto value)
        { curl_easy_setopt(handle, option, value); };
        set(CURLOPT_URL, url.c_str());
        set(CURLOPT_REQUEST_TARGET, request.content.target.c_str());
        set(CURLOPT_NOSIGNAL, 1L);
        set(CURLOPT_NOPROXY, "*");
        set(CURLOPT_TCP_NODELAY, 1L);
        set(CURLOPT_MAXAGE_CONN, max_idle_s);
        set(CURLOPT_TIMEOUT_MS, static_cast<long>(std::max<std::int64_t>(
                                    request.timeout.count, 1)));
        set(CURLOPT_CONNECTTIMEOUT_MS,
            static_cast<long>(request.connect_timeout.count));
        set(CURLOPT_FRESH_CONNECT, request.new_connection ? 1L : 0L);
        set(CURLOPT_FORBID_REUSE, request.new_connection ? 1L : 0L);
        set(CURLOPT_PRIVATE, &item);
        set(CURLOPT_HEADERFUNCTION, on_header);
        set(CURLOPT_HEADERDATA, &item);
        set(CURLOPT_WRITEFUNCTION, on_body);
        set(CURLOPT_WRITEDATA, &item);
        set(CURLOPT_PREREQFUNCTION, on_send);
        set(CURLOPT_PREREQDATA, &item);
        set(CURLOPT_OPENSOCKETFUNCTION, on_open_socket);
        set(CURLOPT_OPENSOCKETDATA, this);
        set(CURLOPT_CLOSESOCKETFUNCTION, on_close_socket);
        set(CURLOPT_CLOSESOCKETDATA, this);
        set_method(item);
        for (const auto& header : request.content.headers)
        {
            const auto line = header.value.empty()
                                  ? header.name + ";"
                                  : header.name + ": " + header.value;
            item.headers = curl_slist_append(item.headers, line.c_str());
        }
        item.headers = curl_slist_append(item.headers, "Expect:");
        set(CURLOPT_HTTPHEADER, item.headers);
    }

    static void set_method(transfer& item)
    {
        auto* handle = item.handle;
        const auto& content = item.request.content;
        if (content.method == "HEAD")
        {
            curl_easy_setopt(handle, CURLOPT_NOBODY, 1L);
            return;
        }
        if (!content.body.empty() || content.method == "POST" ||
            content.method == "PUT")
        {
            curl_easy_setopt(handle, CURLOPT_POST, 1L);
            curl_easy_setopt(handle, CURLOPT_POSTFIELDS, content.body.data());
            curl_easy_setopt(
                handle, CURLOPT_POSTFIELDSIZE_LARGE,
                static_cast<curl_off_t>(content.body.size()));
        }
        curl_easy_setopt(handle, CURLOPT_CUSTOMREQUEST, content.method.c_str());
    }

    void finish_completed_transfers()
    {
        int left = 0;
        while (auto* message = curl_multi_info_read(this->multi, &left))
        {
            if (message->msg != CURLMSG_DONE)
            {
                continue;
            }
            const auto code = message->data.result;
            transfer* item = nullptr;
            curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE, &item);
            this->finish(*item, outcome_of(*item, code));
        }
    }

    static transfer_outcome outcome_of(const transfer& item, CURLcode code)
    {
        if (code == CURLE_OK)
        {
            // libcurl reports success if the connection ends within the head.
            return item.head.is_complete() && !may_be_cut(item)
                       ? transfer_outcome::answered
                       : transfer_outcome::broken;
        }
        if (item.too_large)
        {
            return transfer_outcome::too_large;
        }
        long sent = 0;
        curl_easy_getinfo(item.handle, CURLINFO_REQUEST_SIZE, &sent);
        if (sent == 0)
        {
            return transfer_outcome::unsent;
        }
        return code == CURLE_OPERATION_TIMEDOUT ? transfer_outcome::timed_out
                                                : transfer_outcome::broken;
    }

    //! True if the end of the connection ended the response while the request
    //! was still being sent: the connection may have been reset.
    static bool may_be_cut(const transfer& item)
    {
        curl_off_t uploaded = 0;
        curl_easy_getinfo(item.handle, CURLINFO_SIZE_UPLOAD_T, &uploaded);
        const auto& headers = item.head.headers();
        const bool is_framed =
            !find_header(headers, "content-length").empty() ||
            !find_header(headers, "transfer-encoding").empty();
        return !is_framed && static_cast<std::size_t>(uploaded) <
                                 item.request.content.body.size();
    }

    void finish(transfer& item, transfer_outcome outcome)
    {
        transfer_result result;
        result.outcome = outcome;
        long status = 0;
        double seconds = 0;
        curl_easy_getinfo(item.handle, CURLINFO_RESPONSE_CODE, &status);
        curl_easy_getinfo(item.handle, CURLINFO_TOTAL_TIME, &seconds);
        constexpr double ms_per_s = 1000;
        result.duration_ms = seconds * ms_per_s;
        result.content = std::move(item.received);
        result.content.headers = item.head.headers();
        result.content.status = static_cast<std::uint32_t>(status);
        auto on_done = std::move(item.on_done);
        curl_multi_remove_handle(this->multi, item.handle);
        this->release(item);
        this->transfers.erase(item.id);
        on_done(std::move(result));
    }

    void release(transfer& item)
    {
        this->held.update(item.held_bytes, 0);
        curl_slist_free_all(item.headers);
        if (this->handle_pool.size() < max_pooled_handles)
        {
            this->handle_pool.push_back(item.handle);
            return;
        }
        curl_easy_cleanup(item.handle);
    }

    void run_socket_action(curl_socket_t descriptor, int flags)
    {
        int running = 0;
        curl_multi_socket_action(this->multi, descriptor, flags, &running);
        this->finish_completed_transfers();
    }

    void wait_for_socket(curl_socket_t descriptor, const socket_ptr& item)
    {
        if (item->want_read && !item->reading)
        {
            item->reading = true;
            item->socket.async_wait(
                asio::socket_base::wait_read,
                [this, descriptor, item](std::error_code error)
                {
                    item->reading = false;
                    this->on_ready(descriptor, item, CURL_CSELECT_IN, error);
                });
        }
        if (item->want_write && !item->writing)
        {
            item->writing = true;
            item->socket.async_wait(
                asio::socket_base::wait_write,
                [this, descriptor, item](std::error_code error)
                {
                    item->writing = false;
                    this->on_ready(descriptor, item, CURL_CSELECT_OUT, error);
                });
        }
    }

    void on_ready(
        curl_socket_t descriptor, const socket_ptr& item, int flag,
        std::error_code error)
    {
        const auto found = this->sockets.find(descriptor);
        const bool still_open =
            found != this->sockets.end() && found->second == item;
        if (error == asio::error::operation_aborted || !still_open)
        {
            return;
        }
        const bool wanted =
            flag == CURL_CSELECT_IN ? item->want_read : item->want_write;
        if (wanted)
        {
            this->run_socket_action(
                descriptor, error ? CURL_CSELECT_ERR : flag);
        }
        const auto after = this->sockets.find(descriptor);
        if (after != this->sockets.end() && after->second == item)
        {
            this->wait_for_socket(descriptor, item);
        }
    }

    static int
    on_socket(CURL*, curl_socket_t descriptor, int what, void* user, void*)
    {
        auto& self = *static_cast<curl_client*>(user);
        const auto found = self.sockets.find(descriptor);
        if (found == self.sockets.end())
        {
            return 0;
        }
        auto& item = *found->second;
        item.want_read = what == CURL_POLL_IN || what == CURL_POLL_INOUT;
        item.want_write = what == CURL_POLL_OUT || what == CURL_POLL_INOUT;
        self.wait_for_socket(descriptor, found->second);
        return 0;
    }

    static int on_timer(CURLM*, long timeout_ms, void* user)
    {
        auto& self = *static_cast<curl_client*>(user);
        self.timer.cancel();
        if (timeout_ms < 0)
        {
            return 0;
        }
        self.timer.expires_after(std::chrono::milliseconds(timeout_ms));
        self.timer.async_wait(
            [&self](std::error_code error)
            {
                if (!error)
                {
                    self.run_socket_action(CURL_SOCKET_TIMEOUT, 0);
                }
            });
        return 0;
    }

    static curl_socket_t
    on_open_socket(void* user, curlsocktype purpose, curl_sockaddr* address)
    {
        auto& self = *static_cast<curl_client*>(user);
        if (purpose != CURLSOCKTYPE_IPCXN)
        {
            return CURL_SOCKET_BAD;
        }
        const auto protocol = address->family == AF_INET6 ? asio::ip::tcp::v6()
                                                          : asio::ip::tcp::v4();
        auto item = std::make_shared<open_socket>(
            open_socket{asio::ip::tcp::socket(self.strand)});
        std::error_code error;
        item->socket.open(protocol, error);
        if (error)
        {
            return CURL_SOCKET_BAD;
        }
        const auto descriptor = item->socket.native_handle();
        self.sockets.emplace(descriptor, std::move(item));
        return descriptor;
    }

    static int on_close_socket(void* user, curl_socket_t descriptor)
    {
        auto& self = *static_cast<curl_client*>(user);
        const auto found = self.sockets.find(descriptor);
        if (found == self.sockets.end())
        {
            return 1;
        }
        std::error_code ignored;
        found->second->socket.close(ignored);
        self.sockets.erase(found);
        return 0;
    }

    //! Called before each send of a request. Aborts one that is not wanted any
    //! more, and the second one, libcurl's retry on a new connection, since the
    //! request could run twice.
    static int on_send(void* user, char*, char*, int, int)
    {
        auto& item = *static_cast<transfer*>(user);
        ++item.sends;
        const bool unwanted = item.request.may_send && !item.request.may_send();
        return item.sends > 1 || unwanted ? CURL_PREREQFUNC_ABORT
                                          : CURL_PREREQFUNC_OK;
    }

    static std::size_t
    on_header(char* data, std::size_t size, std::size_t count, void* user)
    {
        auto& item = *static_cast<transfer*>(user);
        const std::string_view line(data, size * count);
        const bool goes_on = item.head.add_line(line);
        item.too_large |= item.head.is_too_large();
        return goes_on ? line.size() : 0;
    }

    static std::size_t
    on_body(char* data, std::size_t size, std::size_t count, void* user)
    {
        auto& item = *static_cast<transfer*>(user);
        auto& self = *item.owner;
        const auto bytes = size * count;
        self.held.update(item.held_bytes, item.held_bytes + bytes);
        item.held_bytes += bytes;
        item.too_large = item.held_bytes > self.limits.max_answer_bytes ||
                         self.held.must_end(item.held_bytes);
        if (item.too_large)
        {
            return 0;
        }
        item.received.body.append(data, bytes);
        return bytes;
    }

    asio::io_context& context;
    asio::strand<asio::io_context::executor_type> strand;
    asio::steady_timer timer;
    client_limits limits;
    held_body_meter held;
    CURLM* multi;
    std::atomic<std::uint64_t> last_id{0};
    std::map<curl_socket_t, socket_ptr> sockets;
    std::unordered_map<std::uint64_t, std::unique_ptr<transfer>> transfers;
    std::vector<CURL*> handle_pool;
};
} // namespace

std::unique_ptr<http_client>
http_client::make(asio::io_context& context, const client_limits& limits)
{
    return std::make_unique<curl_client>(context, limits);
}
} // namespace bilberrytally::http

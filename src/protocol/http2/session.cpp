#include "protocol/http2/session.h"

#include <nghttp2/nghttp2.h>

#include <algorithm>
#include <array>
#include <cstring>
#include <stdexcept>

namespace gulltrestle::http2 {

namespace {

// Token bucket for frames that carry no work of a transaction: PING, SETTINGS, PRIORITY, WINDOW_UPDATE,
// RST_STREAM and empty DATA. kMaxAllowance is its size in frames, kAllowancePerSecond its refill rate.
// Prevents a peer from keeping the only thread busy with such frames, whichever kind it sends. A proxy sends
// a WINDOW_UPDATE for some of the data and a PING every few seconds: a hundredth of this rate. Trade-off: if
// a proxy abandons thousands of requests within one second, its connection is closed, and with it the
// requests that it did not abandon.
constexpr double kMaxAllowance = 8000, kAllowancePerSecond = 2000;
// A HEADERS frame adds to the allowance, for the other frames that belong to its stream. A RST_STREAM costs
// more than that, so that the rate of opening and resetting streams is bounded, too.
constexpr double kAllowancePerStream = 1, kCostOfReset = 2, kCostOfFrame = 1;

// Acknowledgements queued until the peer reads them. A peer that exceeds this does not read at all.
constexpr std::size_t kMaxPendingAcks = 64;
// Maximum number of entries in one SETTINGS frame; six settings are defined.
constexpr std::size_t kMaxSettings = 16;
// Header compression table size in each direction: the initial size of the standard, which is never raised.
constexpr std::uint32_t kHeaderTableBytes = 4096;
// A message on a stream has at most 64 KiB; a window of twice that size lets one message be in transit.
constexpr std::int32_t kStreamWindowBytes = 128 * 1024;
// All streams of a connection share its window. Received data is processed immediately, so that a large
// window costs nothing.
constexpr std::int32_t kConnectionWindowBytes = kStreamWindowBytes * 8;
// Overhead that each header field counts in addition to its name and value (RFC 9113, section 10.5.1).
constexpr std::size_t kFieldOverheadBytes = 32;
// The data of the PING that follows the announcement of the end of a connection.
constexpr std::array<std::uint8_t, 8> kGoAwayPing{'g', 'o', ' ', 'a', 'w', 'a', 'y', '?'};
// Disables nghttp2's own limit: the allowance bounds resets together with the other frames.
constexpr std::uint64_t kUnlimitedResets = 1u << 30;

std::vector<nghttp2_nv> fieldsOf(const Headers& headers) {
  std::vector<nghttp2_nv> fields;
  fields.reserve(headers.size());
  const auto bytes = [](const std::string& text) {
    return reinterpret_cast<std::uint8_t*>(const_cast<char*>(text.data()));
  };
  for (const auto& [name, value] : headers)
    fields.push_back({bytes(name), bytes(value), name.size(), value.size(), NGHTTP2_NV_FLAG_NONE});
  return fields;
}

}  // namespace

// The nghttp2 callbacks. Their `user` argument is the Session.
struct Session::Callbacks {
  static Session& self(void* user) { return *static_cast<Session*>(user); }

  // Calls code that may throw (when memory runs out) from a callback of nghttp2, which does not support
  // exceptions. An exception fails the connection; the process continues.
  template <typename Call>
  static int guarded(void* user, Call call) {
    try {
      return call(self(user));
    } catch (const std::exception&) {
      self(user).hasFailed_ = true;
      return NGHTTP2_ERR_CALLBACK_FAILURE;
    }
  }

  static int beginHeaders(nghttp2_session*, const nghttp2_frame* frame, void* user) {
    if (frame->hd.type != NGHTTP2_HEADERS) return 0;
    return guarded(user, [&](Session& session) {
      Stream& stream = session.streams_[frame->hd.stream_id];
      stream.headers.clear();
      stream.headerBytes = 0;
      if (session.budget_) stream.headerShare.emplace(*session.budget_);
      return 0;
    });
  }

  // Rejects header blocks that decompress into far more bytes than were received.
  static int header(nghttp2_session*, const nghttp2_frame* frame, const std::uint8_t* name,
                    std::size_t nameSize, const std::uint8_t* value, std::size_t valueSize, std::uint8_t,
                    void* user) {
    return guarded(user, [&](Session& session) -> int {
      Stream* stream = session.find(frame->hd.stream_id);
      if (!stream) return 0;
      stream->headerBytes += nameSize + valueSize + kFieldOverheadBytes;
      const std::size_t memoryBytes =
          stream->headerBytes + (stream->headers.size() + 1) * sizeof(Headers::value_type);
      if (stream->headerBytes > session.bounds_.maxHeaderBytes ||
          (stream->headerShare && !stream->headerShare->resize(memoryBytes))) {
        session.reset(frame->hd.stream_id, ErrorCode::enhanceYourCalm);
        return NGHTTP2_ERR_TEMPORAL_CALLBACK_FAILURE;
      }
      stream->headers.emplace_back(std::string(reinterpret_cast<const char*>(name), nameSize),
                                   std::string(reinterpret_cast<const char*>(value), valueSize));
      return 0;
    });
  }

  static int frame(nghttp2_session*, const nghttp2_frame* frame, void* user) {
    return guarded(user, [&](Session& session) -> int {
      const StreamId id = frame->hd.stream_id;
      const bool isHeaders = frame->hd.type == NGHTTP2_HEADERS, isData = frame->hd.type == NGHTTP2_DATA;
      if (isHeaders) session.allowance_ = std::min(kMaxAllowance, session.allowance_ + kAllowancePerStream);
      const double cost = frame->hd.type == NGHTTP2_RST_STREAM ? kCostOfReset : kCostOfFrame;
      if (!isHeaders && !(isData && frame->hd.length > 0) && !session.spendAllowance(cost))
        return NGHTTP2_ERR_CALLBACK_FAILURE;
      if (isAckOfGoAway(frame)) session.finishGoingAway();
      if (isHeaders)
        if (Stream* stream = session.find(id)) {
          stream->headerShare.reset();
          session.handler_.headers(id, std::exchange(stream->headers, {}));
        }
      if ((isHeaders || isData) && (frame->hd.flags & NGHTTP2_FLAG_END_STREAM) && session.find(id))
        session.handler_.halfClosed(id);
      return 0;
    });
  }

  static bool isAckOfGoAway(const nghttp2_frame* frame) {
    return frame->hd.type == NGHTTP2_PING && (frame->hd.flags & NGHTTP2_FLAG_ACK) != 0 &&
           std::equal(kGoAwayPing.begin(), kGoAwayPing.end(), frame->ping.opaque_data);
  }

  static int data(nghttp2_session*, std::uint8_t, StreamId id, const std::uint8_t* bytes, std::size_t size,
                  void* user) {
    return guarded(user, [&](Session& session) {
      if (session.find(id)) session.handler_.data(id, {reinterpret_cast<const char*>(bytes), size});
      return 0;
    });
  }

  // Resets a stream whose complete response was sent while the client may still send: the reset tells the
  // client that nothing more is read, and frees the stream. Otherwise streams that are answered but never
  // ended by the client would use up the limit on open streams.
  static int sent(nghttp2_session* session, const nghttp2_frame* frame, void* user) {
    const bool hasEndStream = (frame->hd.type == NGHTTP2_HEADERS || frame->hd.type == NGHTTP2_DATA) &&
                              (frame->hd.flags & NGHTTP2_FLAG_END_STREAM);
    const StreamId id = frame->hd.stream_id;
    if (hasEndStream && self(user).perspective_ == Perspective::server &&
        nghttp2_session_get_stream_remote_close(session, id) == 0)
      nghttp2_submit_rst_stream(session, NGHTTP2_FLAG_NONE, id, NGHTTP2_NO_ERROR);
    return 0;
  }

  static int closed(nghttp2_session*, StreamId id, std::uint32_t code, void* user) {
    return guarded(user, [&](Session& session) {
      const auto at = session.streams_.find(id);
      if (at == session.streams_.end()) return 0;
      session.unsentBytes_ -= at->second.unsent.size();
      session.streams_.erase(at);
      session.handler_.closed(id, static_cast<ErrorCode>(code));
      return 0;
    });
  }

  static ssize_t read(nghttp2_session* session, StreamId id, std::uint8_t* buffer, std::size_t size,
                      std::uint32_t* flags, nghttp2_data_source*, void* user) {
    Session& owner = self(user);
    Stream* stream = owner.find(id);
    if (!stream) return NGHTTP2_ERR_TEMPORAL_CALLBACK_FAILURE;
    const std::size_t taken = std::min(size, stream->unsent.size());
    std::memcpy(buffer, stream->unsent.data(), taken);
    stream->unsent.erase(0, taken);
    owner.unsentBytes_ -= taken;
    if (!stream->unsent.empty()) return static_cast<ssize_t>(taken);
    if (stream->hasQueuedEnd) {
      *flags |= NGHTTP2_DATA_FLAG_EOF;
      if (!stream->trailers.empty()) {
        *flags |= NGHTTP2_DATA_FLAG_NO_END_STREAM;
        const auto fields = fieldsOf(stream->trailers);
        nghttp2_submit_trailer(session, id, fields.data(), fields.size());
      }
      return static_cast<ssize_t>(taken);
    }
    return taken > 0 ? static_cast<ssize_t>(taken) : ssize_t{NGHTTP2_ERR_DEFERRED};
  }
};

Session::Session(Perspective perspective, Bounds bounds, Handler& handler, MemoryBudget* budget)
    : perspective_(perspective),
      bounds_(bounds),
      handler_(handler),
      budget_(budget),
      allowance_(kMaxAllowance) {
  createSession();
  submitSettings();
  nghttp2_session_set_local_window_size(session_, NGHTTP2_FLAG_NONE, 0, kConnectionWindowBytes);
}

void Session::createSession() {
  nghttp2_session_callbacks* callbacks = nullptr;
  nghttp2_option* option = nullptr;
  if (nghttp2_session_callbacks_new(&callbacks) != 0 || nghttp2_option_new(&option) != 0)
    throw std::bad_alloc();
  nghttp2_session_callbacks_set_on_begin_headers_callback(callbacks, Callbacks::beginHeaders);
  nghttp2_session_callbacks_set_on_header_callback(callbacks, Callbacks::header);
  nghttp2_session_callbacks_set_on_frame_recv_callback(callbacks, Callbacks::frame);
  nghttp2_session_callbacks_set_on_data_chunk_recv_callback(callbacks, Callbacks::data);
  nghttp2_session_callbacks_set_on_stream_close_callback(callbacks, Callbacks::closed);
  nghttp2_session_callbacks_set_on_frame_send_callback(callbacks, Callbacks::sent);
  nghttp2_option_set_no_closed_streams(option, 1);
  nghttp2_option_set_max_outbound_ack(option, kMaxPendingAcks);
  nghttp2_option_set_max_settings(option, kMaxSettings);
  nghttp2_option_set_stream_reset_rate_limit(option, kUnlimitedResets, kUnlimitedResets);
  nghttp2_option_set_max_deflate_dynamic_table_size(option, kHeaderTableBytes);
  const int result = perspective_ == Perspective::server
                         ? nghttp2_session_server_new2(&session_, callbacks, this, option)
                         : nghttp2_session_client_new2(&session_, callbacks, this, option);
  nghttp2_session_callbacks_del(callbacks);
  nghttp2_option_del(option);
  if (result != 0) throw std::bad_alloc();
}

void Session::submitSettings() {
  std::vector<nghttp2_settings_entry> settings{
      {NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, bounds_.maxStreams},
      {NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE, static_cast<std::uint32_t>(kStreamWindowBytes)},
      {NGHTTP2_SETTINGS_MAX_HEADER_LIST_SIZE, static_cast<std::uint32_t>(bounds_.maxHeaderBytes)}};
  if (perspective_ == Perspective::client) settings = {{NGHTTP2_SETTINGS_ENABLE_PUSH, 0}};
  nghttp2_submit_settings(session_, NGHTTP2_FLAG_NONE, settings.data(), settings.size());
}

Session::~Session() { nghttp2_session_del(session_); }

Session::Stream* Session::find(StreamId id) {
  const auto at = streams_.find(id);
  return at == streams_.end() || at->second.isReset ? nullptr : &at->second;
}

// Returns false if the allowance is used up; the connection is then closed.
bool Session::spendAllowance(double cost) {
  if (now_ > allowanceAt_ && allowanceAt_ != Instant())
    allowance_ =
        std::min(kMaxAllowance, allowance_ + (now_ - allowanceAt_).inSeconds() * kAllowancePerSecond);
  allowanceAt_ = now_;
  allowance_ -= cost;
  if (allowance_ >= 0) return true;
  hasFailed_ = true;
  nghttp2_session_terminate_session(session_, NGHTTP2_ENHANCE_YOUR_CALM);
  return false;
}

bool Session::received(Instant now, std::string_view bytes) {
  now_ = now;
  if (hasFailed_) return false;
  const auto used =
      nghttp2_session_mem_recv(session_, reinterpret_cast<const std::uint8_t*>(bytes.data()), bytes.size());
  if (used < 0) hasFailed_ = true;
  return !hasFailed_;
}

std::string Session::output() {
  std::string out;
  for (;;) {
    const std::uint8_t* bytes = nullptr;
    const auto size = nghttp2_session_mem_send(session_, &bytes);
    if (size < 0) hasFailed_ = true;
    if (size <= 0) return out;
    out.append(reinterpret_cast<const char*>(bytes), static_cast<std::size_t>(size));
  }
}

bool Session::done() const {
  return hasFailed_ || (!nghttp2_session_want_read(session_) && !nghttp2_session_want_write(session_)) ||
         (hasGoneAway_ && streams_.empty() && !nghttp2_session_want_write(session_));
}

void Session::connectionEnded() {
  hasFailed_ = true;
  for (auto open = std::exchange(streams_, {}); auto& [id, stream] : open)
    handler_.closed(id, ErrorCode::cancel);
  unsentBytes_ = 0;
}

StreamId Session::request(const Headers& headers) {
  if (hasFailed_ || isGoingAway_) return 0;
  const auto fields = fieldsOf(headers);
  nghttp2_data_provider provider{{0}, Callbacks::read};
  const StreamId id =
      nghttp2_submit_request(session_, nullptr, fields.data(), fields.size(), &provider, nullptr);
  if (id <= 0) return 0;
  streams_[id].hasHeaders = true;
  return id;
}

void Session::respond(StreamId id, const Headers& headers) {
  Stream* stream = find(id);
  if (!stream || std::exchange(stream->hasHeaders, true)) return;
  const auto fields = fieldsOf(headers);
  nghttp2_data_provider provider{{0}, Callbacks::read};
  nghttp2_submit_response(session_, id, fields.data(), fields.size(), &provider);
}

void Session::respondAndEnd(StreamId id, const Headers& headers) {
  Stream* stream = find(id);
  if (!stream || std::exchange(stream->hasHeaders, true)) return;
  stream->hasQueuedEnd = true;
  const auto fields = fieldsOf(headers);
  nghttp2_submit_response(session_, id, fields.data(), fields.size(), nullptr);
}

// Bounds the unsent data: without this limit it would grow indefinitely for a peer that never opens its
// windows, or that opens streams and reads none. Only the stream that exceeds the limit is reset.
void Session::send(StreamId id, std::string_view bytes) {
  Stream* stream = find(id);
  if (!stream || stream->hasQueuedEnd) return;
  if (unsentBytes_ + bytes.size() > bounds_.maxUnsentBytes) return reset(id, ErrorCode::enhanceYourCalm);
  stream->unsent += bytes;
  unsentBytes_ += bytes.size();
  nghttp2_session_resume_data(session_, id);
}

void Session::end(StreamId id, Headers trailers) {
  Stream* stream = find(id);
  if (!stream || std::exchange(stream->hasQueuedEnd, true)) return;
  stream->trailers = std::move(trailers);
  nghttp2_session_resume_data(session_, id);
}

void Session::reset(StreamId id, ErrorCode code) {
  Stream* stream = find(id);
  if (!stream) return;
  stream->isReset = true;
  nghttp2_submit_rst_stream(session_, NGHTTP2_FLAG_NONE, id, static_cast<std::uint32_t>(code));
}

void Session::goAway() {
  if (std::exchange(isGoingAway_, true) || hasFailed_) return;
  nghttp2_submit_shutdown_notice(session_);
  nghttp2_submit_ping(session_, NGHTTP2_FLAG_NONE, kGoAwayPing.data());
}

void Session::finishGoingAway() {
  if (!isGoingAway_ || hasFailed_ || std::exchange(hasGoneAway_, true)) return;
  nghttp2_submit_goaway(session_, NGHTTP2_FLAG_NONE, nghttp2_session_get_last_proc_stream_id(session_),
                        NGHTTP2_NO_ERROR, nullptr, 0);
}

void Session::ping() { nghttp2_submit_ping(session_, NGHTTP2_FLAG_NONE, nullptr); }

}  // namespace gulltrestle::http2

#include "protocol/http2/session.h"

#include <nghttp2/nghttp2.h>

#include <algorithm>
#include <cstring>
#include <stdexcept>

namespace gulltrestle::http2 {

namespace {

// Frames that bring no work of a txn (pings, settings, priorities, windows, resets, empty data): so many may
// come at once, and so many a second after that. Guards the one thread against a peer that keeps it busy with
// them, whichever kind it takes. A proxy sends a window for some data and a ping in seconds: a hundredth of
// this. May hurt a proxy that gives up thousands of requests in the same second; its connection then ends,
// and with it what it had not given up.
constexpr double kIdleFrames = 8000, kIdleFramesASecond = 2000;
// One that opens a stream has something to ask, and earns what may go with it; one that resets it takes that
// back and more, so that opening and resetting is bounded, too.
constexpr double kFramesAStream = 1, kFramesAReset = 2;

// Acknowledgements that wait as the peer does not read them. More is a peer that never reads.
constexpr std::size_t kMostAcks = 64;
// Settings in a frame: there are six that mean anything here.
constexpr std::size_t kMostSettings = 16;
// The table for header compression, each way: the standard's own start value, and no more is ever given.
constexpr std::uint32_t kTableBytes = 4096;
// A message of a stream is 64 KiB at most; a window of that size lets one be on its way.
constexpr std::int32_t kWindow = 128 * 1024;

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

struct Session::Callbacks {
  static Session& self(void* user) { return *static_cast<Session*>(user); }

  // Calls what may throw (memory that is not to be had) from within the library, which knows no exceptions:
  // the connection ends, the program goes on.
  template <typename Call>
  static int guarded(void* user, Call call) {
    try {
      return call(self(user));
    } catch (const std::exception&) {
      self(user).failed_ = true;
      return NGHTTP2_ERR_CALLBACK_FAILURE;
    }
  }

  static int beginHeaders(nghttp2_session*, const nghttp2_frame* frame, void* user) {
    if (frame->hd.type != NGHTTP2_HEADERS) return 0;
    return guarded(user, [&](Session& s) {
      Stream& stream = s.streams_[frame->hd.stream_id];
      stream.headers.clear();
      stream.headerBytes = 0;
      return 0;
    });
  }

  // Guards against header blocks that unpack into more than they look: each field counts with the 32 bytes
  // that RFC 9113 adds.
  static int header(nghttp2_session*, const nghttp2_frame* frame, const std::uint8_t* name,
                    std::size_t nameSize, const std::uint8_t* value, std::size_t valueSize, std::uint8_t,
                    void* user) {
    return guarded(user, [&](Session& s) -> int {
      Stream* stream = s.find(frame->hd.stream_id);
      if (!stream) return 0;
      stream->headerBytes += nameSize + valueSize + 32;
      if (stream->headerBytes > s.bounds_.mostHeaderBytes) {
        s.reset(frame->hd.stream_id, Code::calm);
        return NGHTTP2_ERR_TEMPORAL_CALLBACK_FAILURE;
      }
      stream->headers.emplace_back(std::string(reinterpret_cast<const char*>(name), nameSize),
                                   std::string(reinterpret_cast<const char*>(value), valueSize));
      return 0;
    });
  }

  static int frame(nghttp2_session*, const nghttp2_frame* frame, void* user) {
    return guarded(user, [&](Session& s) -> int {
      const StreamId id = frame->hd.stream_id;
      const bool isHeaders = frame->hd.type == NGHTTP2_HEADERS, isData = frame->hd.type == NGHTTP2_DATA;
      if (isHeaders) s.allowance_ = std::min(kIdleFrames, s.allowance_ + kFramesAStream);
      const double cost = frame->hd.type == NGHTTP2_RST_STREAM ? kFramesAReset : 1;
      if (!isHeaders && !(isData && frame->hd.length > 0) && !s.spend(cost))
        return NGHTTP2_ERR_CALLBACK_FAILURE;
      if (isHeaders)
        if (Stream* stream = s.find(id)) s.handler_.headers(id, std::move(stream->headers));
      if ((isHeaders || isData) && (frame->hd.flags & NGHTTP2_FLAG_END_STREAM) && s.find(id))
        s.handler_.halfClosed(id);
      return 0;
    });
  }

  static int data(nghttp2_session*, std::uint8_t, StreamId id, const std::uint8_t* bytes, std::size_t size,
                  void* user) {
    return guarded(user, [&](Session& s) {
      if (s.find(id)) s.handler_.data(id, {reinterpret_cast<const char*>(bytes), size});
      return 0;
    });
  }

  // A whole answer is out while the other side may still send: it is told that nobody listens, and the stream
  // is free. Guards the bound on streams against those that are answered and never ended.
  static int sent(nghttp2_session* session, const nghttp2_frame* frame, void* user) {
    const bool ends = (frame->hd.type == NGHTTP2_HEADERS || frame->hd.type == NGHTTP2_DATA) &&
                      (frame->hd.flags & NGHTTP2_FLAG_END_STREAM);
    const StreamId id = frame->hd.stream_id;
    if (ends && self(user).side_ == Side::server && nghttp2_session_get_stream_remote_close(session, id) == 0)
      nghttp2_submit_rst_stream(session, NGHTTP2_FLAG_NONE, id, NGHTTP2_NO_ERROR);
    return 0;
  }

  static int closed(nghttp2_session*, StreamId id, std::uint32_t code, void* user) {
    return guarded(user, [&](Session& s) {
      const auto at = s.streams_.find(id);
      if (at == s.streams_.end()) return 0;
      s.unsent_ -= at->second.unsent.size();
      s.streams_.erase(at);
      s.handler_.closed(id, static_cast<Code>(code));
      return 0;
    });
  }

  static ssize_t read(nghttp2_session* session, StreamId id, std::uint8_t* buffer, std::size_t size,
                      std::uint32_t* flags, nghttp2_data_source*, void* user) {
    Session& s = self(user);
    Stream* stream = s.find(id);
    if (!stream) return NGHTTP2_ERR_TEMPORAL_CALLBACK_FAILURE;
    const std::size_t taken = std::min(size, stream->unsent.size());
    std::memcpy(buffer, stream->unsent.data(), taken);
    stream->unsent.erase(0, taken);
    s.unsent_ -= taken;
    if (!stream->unsent.empty()) return static_cast<ssize_t>(taken);
    if (stream->ending) {
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

Session::Session(Side side, Bounds bounds, Handler& handler)
    : side_(side), bounds_(bounds), handler_(handler), allowance_(kIdleFrames) {
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
  nghttp2_option_set_max_outbound_ack(option, kMostAcks);
  nghttp2_option_set_max_settings(option, kMostSettings);
  // The bound on resets is kept here, together with that on other frames.
  nghttp2_option_set_stream_reset_rate_limit(option, 1u << 30, 1u << 30);
  nghttp2_option_set_max_deflate_dynamic_table_size(option, kTableBytes);
  const int made = side == Side::server ? nghttp2_session_server_new2(&session_, callbacks, this, option)
                                        : nghttp2_session_client_new2(&session_, callbacks, this, option);
  nghttp2_session_callbacks_del(callbacks);
  nghttp2_option_del(option);
  if (made != 0) throw std::bad_alloc();
  std::vector<nghttp2_settings_entry> told{
      {NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, bounds.mostStreams},
      {NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE, static_cast<std::uint32_t>(kWindow)},
      {NGHTTP2_SETTINGS_MAX_HEADER_LIST_SIZE, static_cast<std::uint32_t>(bounds.mostHeaderBytes)}};
  if (side == Side::client) told = {{NGHTTP2_SETTINGS_ENABLE_PUSH, 0}};
  nghttp2_submit_settings(session_, NGHTTP2_FLAG_NONE, told.data(), told.size());
  // All streams of a connection share this window: what comes is handled at once, so a large one costs
  // nothing.
  nghttp2_session_set_local_window_size(session_, NGHTTP2_FLAG_NONE, 0, kWindow * 8);
}

Session::~Session() { nghttp2_session_del(session_); }

Session::Stream* Session::find(StreamId id) {
  const auto at = streams_.find(id);
  return at == streams_.end() || at->second.over ? nullptr : &at->second;
}

bool Session::spend(double cost) {
  if (now_ > allowedAt_ && allowedAt_ != Instant())
    allowance_ = std::min(kIdleFrames, allowance_ + (now_ - allowedAt_).inSeconds() * kIdleFramesASecond);
  allowedAt_ = now_;
  allowance_ -= cost;
  if (allowance_ >= 0) return true;
  failed_ = true;
  nghttp2_session_terminate_session(session_, NGHTTP2_ENHANCE_YOUR_CALM);
  return false;
}

bool Session::received(Instant now, std::string_view bytes) {
  now_ = now;
  if (failed_) return false;
  const auto used =
      nghttp2_session_mem_recv(session_, reinterpret_cast<const std::uint8_t*>(bytes.data()), bytes.size());
  if (used < 0) failed_ = true;
  return !failed_;
}

std::string Session::output() {
  std::string out;
  for (;;) {
    const std::uint8_t* bytes = nullptr;
    const auto size = nghttp2_session_mem_send(session_, &bytes);
    if (size < 0) failed_ = true;
    if (size <= 0) return out;
    out.append(reinterpret_cast<const char*>(bytes), static_cast<std::size_t>(size));
  }
}

bool Session::done() const {
  return failed_ || (!nghttp2_session_want_read(session_) && !nghttp2_session_want_write(session_)) ||
         (goingAway_ && streams_.empty());
}

void Session::ended() {
  failed_ = true;
  for (auto left = std::exchange(streams_, {}); auto& [id, stream] : left) handler_.closed(id, Code::cancel);
  unsent_ = 0;
}

StreamId Session::request(const Headers& headers) {
  if (failed_ || goingAway_) return 0;
  const auto fields = fieldsOf(headers);
  nghttp2_data_provider provider{{0}, Callbacks::read};
  const StreamId id =
      nghttp2_submit_request(session_, nullptr, fields.data(), fields.size(), &provider, nullptr);
  if (id <= 0) return 0;
  streams_[id].sending = true;
  return id;
}

void Session::respond(StreamId id, const Headers& headers) {
  Stream* stream = find(id);
  if (!stream || std::exchange(stream->sending, true)) return;
  const auto fields = fieldsOf(headers);
  nghttp2_data_provider provider{{0}, Callbacks::read};
  nghttp2_submit_response(session_, id, fields.data(), fields.size(), &provider);
}

void Session::respondAndEnd(StreamId id, const Headers& headers) {
  Stream* stream = find(id);
  if (!stream || std::exchange(stream->sending, true)) return;
  stream->ending = true;
  const auto fields = fieldsOf(headers);
  nghttp2_submit_response(session_, id, fields.data(), fields.size(), nullptr);
}

// Guards against peers that never open their windows, or open streams and read none: what waits for them
// would grow without an end. The stream that goes over the bound goes, not the others.
void Session::send(StreamId id, std::string_view bytes) {
  Stream* stream = find(id);
  if (!stream || stream->ending) return;
  if (unsent_ + bytes.size() > bounds_.mostUnsent) return reset(id, Code::calm);
  stream->unsent += bytes;
  unsent_ += bytes.size();
  nghttp2_session_resume_data(session_, id);
}

void Session::end(StreamId id, Headers trailers) {
  Stream* stream = find(id);
  if (!stream || std::exchange(stream->ending, true)) return;
  stream->trailers = std::move(trailers);
  nghttp2_session_resume_data(session_, id);
}

void Session::reset(StreamId id, Code code) {
  Stream* stream = find(id);
  if (!stream) return;
  stream->over = true;
  nghttp2_submit_rst_stream(session_, NGHTTP2_FLAG_NONE, id, static_cast<std::uint32_t>(code));
}

void Session::goAway() {
  if (std::exchange(goingAway_, true) || failed_) return;
  nghttp2_submit_goaway(session_, NGHTTP2_FLAG_NONE, nghttp2_session_get_last_proc_stream_id(session_),
                        NGHTTP2_NO_ERROR, nullptr, 0);
}

void Session::ping() { nghttp2_submit_ping(session_, NGHTTP2_FLAG_NONE, nullptr); }

}  // namespace gulltrestle::http2

#pragma once

#include <functional>
#include <string_view>

#include "tamarackwing/http/asio.h"
#include "tamarackwing/http/message.h"

namespace tamarackwing::http {

//! Interface: the way back to the peer that sent a request.
//! Thread safety: only from the thread of the session that made it.
class ResponseWriter {
 public:
  virtual ~ResponseWriter() = default;
  //! Sends a whole response; false where the peer is gone.
  //! Precondition: nothing was sent yet.
  virtual asio::awaitable<bool> Send(Response response) = 0;
  //! Sends the head of a streamed response; false where the peer is gone.
  //! Precondition: nothing was sent yet.
  virtual asio::awaitable<bool> StartStream(ResponseHead head) = 0;
  //! Sends one piece and waits until the peer has taken it.
  //! Precondition: a stream was started.
  virtual asio::awaitable<bool> WritePiece(std::string_view piece) = 0;
  //! Ends a streamed response. Precondition: a stream was started.
  virtual asio::awaitable<bool> FinishStream() = 0;
  //! Closes the connection so that a cut answer is never taken as whole.
  virtual void Abort() = 0;
  //! Whether a first byte has been sent.
  virtual bool HasStarted() const = 0;
  //! Sets what is called, at most once, when the peer goes away.
  virtual void OnPeerGone(std::function<void()> callback) = 0;
};

}  // namespace tamarackwing::http

#pragma once

#include <functional>
#include <string_view>

#include "tamarackwing/http/asio.h"
#include "tamarackwing/http/message.h"

namespace tamarackwing::http {

//! Interface: writes the response to one request.
//! Thread safety: only from the thread that serves the connection.
class ResponseWriter {
 public:
  virtual ~ResponseWriter() = default;
  //! Sends a complete response. Returns false if the write failed, for example
  //! because the peer has disconnected.
  //! Precondition: nothing was sent yet.
  virtual asio::awaitable<bool> Send(Response response) = 0;
  //! Sends the head of a streamed response. Returns false if the write failed.
  //! Precondition: nothing was sent yet.
  virtual asio::awaitable<bool> StartStream(ResponseHead head) = 0;
  //! Sends one piece of the body and waits until it has been written to the
  //! socket, so that a slow peer slows the sender down. Returns false if the
  //! write failed. Precondition: a stream was started.
  virtual asio::awaitable<bool> WritePiece(std::string_view piece) = 0;
  //! Ends a streamed response. Returns false if the write failed.
  //! Precondition: a stream was started.
  virtual asio::awaitable<bool> FinishStream() = 0;
  //! Closes the connection, so that the peer does not mistake a truncated
  //! response for a complete one.
  virtual void Abort() = 0;
  //! Returns whether sending a response has begun.
  virtual bool HasStarted() const = 0;
  //! Sets the callback for a peer that disconnects while its request is being
  //! served. It is called at most once.
  virtual void OnPeerGone(std::function<void()> callback) = 0;
  //! Returns whether the peer has disconnected by now.
  virtual bool IsPeerGone() = 0;
};

}  // namespace tamarackwing::http

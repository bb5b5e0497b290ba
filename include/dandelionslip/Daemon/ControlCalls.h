// What an adapter for operators' calls may ask of a control replica.
#pragma once

#include "dandelionslip/Model/Command.h"

#include <functional>
#include <memory>
#include <string>

namespace boost::asio {
class io_context;
}

namespace dandelionslip {

/// Calls of an adapter on the replica that it runs in. Thread-safe.
class ControlCalls
{
public:
  virtual ~ControlCalls() = default;

  /// Has the command decided here or by the leader, repeating it under the same publication id
  /// while that is safe and time is left. The callback runs once.
  virtual void Submit(Command aCommand, std::function<void(const CommandAnswer&)> aCallback) = 0;

  /// The published text of the newest route table. Unavailable when this replica has not confirmed
  /// that it is the newest; NotFound before the first publication.
  virtual Result<std::string> ConfirmedRouteDocument() = 0;

  virtual boost::asio::io_context& Loop() = 0;
};

/// An adapter lives as long as the replica that it serves.
class ControlAdapter
{
public:
  virtual ~ControlAdapter() = default;
};

/// Creates the adapter, for example by opening its listener.
using ControlAdapterFactory = std::function<Result<std::unique_ptr<ControlAdapter>>(ControlCalls&)>;

} // namespace dandelionslip

// Counters, gauges and summaries of a process, rendered in the text exposition format.
#pragma once

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>

namespace dandelionslip {

/// A monotonically increasing count. Thread-safe.
class Counter
{
public:
  void Add(std::uint64_t aAmount = 1) { mValue.fetch_add(aAmount, std::memory_order_relaxed); }
  std::uint64_t Value() const { return mValue.load(std::memory_order_relaxed); }

private:
  std::atomic<std::uint64_t> mValue{0};
};

/// A value that goes up and down. Thread-safe.
class Gauge
{
public:
  void Set(double aValue) { mValue.store(aValue, std::memory_order_relaxed); }
  double Value() const { return mValue.load(std::memory_order_relaxed); }

private:
  std::atomic<double> mValue{0};
};

/// Count, mean and quantiles of observations, kept by Boost.Accumulators. Thread-safe.
class Summary
{
public:
  Summary();
  ~Summary();
  void Observe(double aValue);
  std::uint64_t Count() const;
  double Mean() const;
  /// The estimated quantile at level aLevel, one of 0.5, 0.9 and 0.99; 0 for other levels.
  double Quantile(double aLevel) const;

private:
  struct State;
  mutable std::mutex mMutex;
  std::unique_ptr<State> mState;
};

/// Owns the metrics of a process. References stay valid for the registry's lifetime. Thread-safe.
class MetricsRegistry
{
public:
  /// Finds or creates a metric; aLabels is the text between braces, for example reason="full".
  Counter& CounterFor(std::string_view aName, std::string_view aLabels = {});
  Gauge& GaugeFor(std::string_view aName, std::string_view aLabels = {});
  Summary& SummaryFor(std::string_view aName, std::string_view aLabels = {});

  /// All metrics in the text exposition format: counters, gauges, then summaries, each ordered
  /// by name and labels.
  std::string Render() const;

private:
  using Key = std::pair<std::string, std::string>;
  mutable std::mutex mMutex;
  std::map<Key, std::unique_ptr<Counter>> mCounters;
  std::map<Key, std::unique_ptr<Gauge>> mGauges;
  std::map<Key, std::unique_ptr<Summary>> mSummaries;
};

} // namespace dandelionslip

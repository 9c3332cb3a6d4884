// The decisions of the edge that can be switched off, by name.
//
// Operators switch a mechanism off that misbehaves under a load nobody foresaw;
// an experiment switches one off to measure what it is worth. The rules of
// limits, identity and at-most-once are no mechanisms: they cannot be switched
// off.
//
// Thread-safe after construction; value types.
//
// Example:
//   MechanismSet disabled;
//   if (const auto found = FindMechanism("hedging")) disabled.Insert(*found);
//   if (!disabled.Contains(Mechanism::kHedging)) StartHedgeTimer();

#ifndef LACEWINGKNOT_POLICY_MECHANISMS_H_
#define LACEWINGKNOT_POLICY_MECHANISMS_H_

#include <bitset>
#include <cstddef>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace lacewingknot {

enum class Mechanism {
  kAdmission,
  kBackoff,
  kBatchingDelay,
  kConcurrencyLimit,
  kContentsByPeers,
  kDeclining,
  kFailureShare,
  kHedging,
  kPartialAnswers,
  kPreconnecting,
  kRelays,
  kRemotePenalty,
  kSchedulingMargin,
  kSlownessEstimate,
  kStatementExchange,
  kSuspicion,
  kTeamFairness,
  kUrgentHedgesFirst,
};

struct MechanismInfo {
  Mechanism mechanism;
  std::string_view name;         // In the settings.
  std::string_view description;  // One line for operators.
};

// All mechanisms, sorted by name.
std::span<const MechanismInfo> AllMechanisms();

// Returns the mechanism of that name; empty if there is none.
std::optional<Mechanism> FindMechanism(std::string_view name);

class MechanismSet {
 public:
  void Insert(Mechanism mechanism) { bits_.set(Index(mechanism)); }
  bool Contains(Mechanism mechanism) const {
    return bits_.test(Index(mechanism));
  }
  bool empty() const { return bits_.none(); }

  friend bool operator==(const MechanismSet&, const MechanismSet&) = default;

 private:
  static constexpr std::size_t kCount =
      static_cast<std::size_t>(Mechanism::kUrgentHedgesFirst) + 1;
  static std::size_t Index(Mechanism mechanism) {
    return static_cast<std::size_t>(mechanism);
  }

  std::bitset<kCount> bits_;
};

// Returns the names of the mechanisms in `set`, separated by commas.
std::string MechanismNames(const MechanismSet& set);

}  // namespace lacewingknot

#endif  // LACEWINGKNOT_POLICY_MECHANISMS_H_

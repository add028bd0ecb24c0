#ifndef SKYLARKSHUNT_PLACEMENT_POLICY_H_
#define SKYLARKSHUNT_PLACEMENT_POLICY_H_

namespace skylarkshunt {

/// How an entry orders candidates for an opening request. All but kHunting are
/// baselines for measurements.
enum class PlacementPolicy {
  kHunting,     ///< Sequential candidate search, decided by agents' load.
  kHash,        ///< The first candidate only.
  kRandom,      ///< One target drawn at random.
  kRoundRobin,  ///< The targets in turn.
};

}  // namespace skylarkshunt

#endif  // SKYLARKSHUNT_PLACEMENT_POLICY_H_

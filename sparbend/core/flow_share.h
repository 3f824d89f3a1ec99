// How a flow stands relative to its fair share, as far as the choice of a
// target depends on it.
//
//   const FlowShare share = fair_shares.ShareForPlacement(flow, now);
//   if (share.ratio >= 1)
//     ...  // only spare capacity
#ifndef SPARBEND_CORE_FLOW_SHARE_H_
#define SPARBEND_CORE_FLOW_SHARE_H_

namespace sparbend {

struct FlowShare {
  // Service in multiples of the fair share. From 1 on the flow may only use
  // spare capacity.
  double ratio = 0;
  // It gets less than it is entitled to of a pool that can't serve all that is
  // requested.
  bool below_entitlement = false;

  auto operator==(const FlowShare&) const -> bool = default;
};

}  // namespace sparbend

#endif  // SPARBEND_CORE_FLOW_SHARE_H_

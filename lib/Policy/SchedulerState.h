#pragma once

#include "ModelState.h"

#include "basilpoint/Policy/CacheMap.h"
#include "basilpoint/Policy/CacheRetention.h"
#include "basilpoint/Policy/ConcurrencyQuotas.h"
#include "basilpoint/Policy/ModelScheduler.h"
#include "basilpoint/Policy/OutlierEjection.h"
#include "basilpoint/Policy/Quarantine.h"
#include "basilpoint/Policy/Router.h"

namespace basilpoint {

/// Composes the decision classes; each event changes the state and collects actions.
class SchedulerState {
public:
    SchedulerState(const SchedulerSettings&, RandomEngine::result_type seed);

    // The events of ModelScheduler.
    void addTarget(const TargetId&, const std::string& model);
    void targetLeaving(const TargetId&, TimePoint now);
    void removeTarget(const TargetId&, TimePoint now);
    void submit(const ModelCall&, TimePoint now);
    void cancelWaiting(CallId, TimePoint now);
    void firstToken(CallId, TimePoint now);
    void callEnded(CallId, CallEnd, TokenCount outputTokens, TimePoint now);
    void loadReported(const LoadReport&, TimePoint now);
    void cacheEvicted(const TargetId&, const ProgramId&);
    void cacheEventsMissed(const TargetId&);
    void toolStarted(const ProgramId&, const std::string& tool, TimePoint now);
    void toolEnded(const ProgramId&, TimePoint now);
    void programEnded(const ProgramId&, TimePoint now);
    void suspected(const Digest&, TimePoint now);
    void quarantined(const Digest&, TimePoint now);
    void tick(TimePoint now);

    void setEnvironmentLimit(const EnvironmentId& id, unsigned limit) { m_limits.setEnvironmentLimit(id, limit); }
    void setOperatorLimit(const OperatorId& id, unsigned limit) { m_limits.setOperatorLimit(id, limit); }
    void setOperatorWeight(const OperatorId&, double weight);

    void liftQuarantine(const Digest& content) { m_quarantine.lift(content); }
    std::vector<Digest> quarantinedDigests() const { return m_quarantine.quarantinedDigests(); }

    /// Dispatches what can go now.
    void serve(const std::string& model, TimePoint now);

    SchedulerActions takeActions() { return std::exchange(m_actions, {}); }

    std::size_t waiting() const { return m_calls.size() - m_running; }
    std::size_t running() const { return m_running; }
    std::size_t heldCaches() const { return m_caches.size(); }

private:
    struct CostWeights {
        double latency = 0;
        double cache = 0;
    };

    ModelLane& lane(const std::string& model);
    std::optional<RefuseAction> refusalOf(const ModelCall&, ModelLane&, TimePoint now);
    void enqueue(CallRecord&, ModelLane&);
    void forgetWaiting(CallRecord&, ModelLane&);
    void refuse(CallRecord&, ModelLane&, RefusalReason, TimePoint now);
    void park(CallRecord&, const Route&, TimePoint now);
    void unpark(CallRecord&);
    bool isParked(const CallRecord&, TimePoint now) const;
    Visit tryDispatch(CallRecord&, ModelLane&, TimePoint now);
    void dispatch(CallRecord&, ModelLane&, ReplicaIndex, TimePoint now);
    void serveSuspects(ModelLane&, const std::string& model, TimePoint now);
    bool serveSuspect(CallRecord&, ModelLane&, TimePoint now);
    void settleEjection(const CallRecord&, CallEnd, TimePoint now);
    void settleQuarantine(const CallRecord&, CallEnd, TimePoint now);
    void refuseQuarantined(const Digest&, TimePoint now);
    void release(const ProgramId&, const CacheEntry&);
    void releaseAll(const ProgramId&);
    void holdFor(const ProgramId&, const std::string& tool, TimePoint now);
    void moveCachesFrom(ReplicaIndex);
    void refuseExpired(ModelLane&, TimePoint now);
    void refuseWithoutReplica(ModelLane&, const std::string& model, TimePoint now);
    RouteRequest routeRequest(const CallRecord&, bool mayWait) const;

    SchedulerSettings m_settings;
    ReplicaSet m_replicas;
    CacheMap m_caches;
    Router m_router;
    CacheRetention m_retention;
    Quarantine m_quarantine;
    OutlierEjection m_ejection { EjectionSettings {} };
    ConcurrencyShares m_limits;
    std::unordered_map<std::string, ModelLane> m_lanes;
    std::unordered_map<CallId, CallRecord> m_calls;
    std::unordered_map<OperatorId, double> m_weights;
    std::unordered_map<ProgramId, CostWeights> m_weightsOf;
    std::size_t m_running = 0;
    TimePoint m_sweepAt;
    SchedulerActions m_actions;
};

} // namespace basilpoint

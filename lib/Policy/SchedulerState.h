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

/// Combines the decision classes. Each event updates the state and appends actions.
class SchedulerState {
public:
    SchedulerState(const SchedulerSettings&, RandomEngine::result_type seed);

    // Events; see ModelScheduler.
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

    void setEnvironmentLimit(const EnvironmentId& id, unsigned limit) { m_quotas.setEnvironmentLimit(id, limit); }
    void setOperatorLimit(const OperatorId& id, unsigned limit) { m_quotas.setOperatorLimit(id, limit); }
    void setOperatorWeight(const OperatorId&, double weight);

    void liftQuarantine(const Digest& content) { m_quarantine.lift(content); }
    std::vector<Digest> quarantinedDigests() const { return m_quarantine.quarantinedDigests(); }

    /// Dispatches the waiting calls of the model that can run now.
    void dispatchWaiting(const std::string& model, TimePoint now);

    SchedulerActions takeActions() { return std::exchange(m_actions, {}); }

    std::size_t waiting() const { return m_calls.size() - m_running; }
    std::size_t running() const { return m_running; }
    std::size_t cacheEntryCount() const { return m_caches.size(); }

private:
    struct CostWeights {
        double latency = 0;
        double cache = 0;
    };

    ModelState& stateOf(const std::string& model);
    std::optional<RefuseAction> refusalOf(const ModelCall&, ModelState&, TimePoint now);
    void enqueue(CallRecord&, ModelState&);
    void removeWaiting(CallRecord&, ModelState&);
    void refuse(CallRecord&, ModelState&, RefusalReason, TimePoint now);
    void waitForCache(CallRecord&, const Route&, TimePoint now);
    void endCacheWait(CallRecord&);
    bool isWaitingForCache(const CallRecord&, TimePoint now) const;
    Visit tryDispatch(CallRecord&, ModelState&, TimePoint now);
    void dispatch(CallRecord&, ModelState&, ReplicaIndex, TimePoint now);
    void dispatchSuspects(ModelState&, const std::string& model, TimePoint now);
    bool tryDispatchSuspect(CallRecord&, ModelState&, TimePoint now);
    void updateEjection(const CallRecord&, CallEnd, TimePoint now);
    void updateQuarantine(const CallRecord&, CallEnd, TimePoint now);
    void refuseQuarantined(const Digest&, TimePoint now);
    void release(const ProgramId&, const CacheEntry&);
    void releaseAll(const ProgramId&);
    void applyRetention(const ProgramId&, const std::string& tool, TimePoint now);
    void moveCachesFrom(ReplicaIndex);
    void refuseExpired(ModelState&, TimePoint now);
    void refuseWithoutReplica(ModelState&, const std::string& model, TimePoint now);
    RouteRequest routeRequest(const CallRecord&, bool mayWait) const;

    SchedulerSettings m_settings;
    ReplicaSet m_replicas;
    CacheMap m_caches;
    Router m_router;
    CacheRetention m_retention;
    Quarantine m_quarantine;
    OutlierEjection m_ejection { EjectionSettings {} };
    ConcurrencyQuotas m_quotas;
    std::unordered_map<std::string, ModelState> m_models;
    std::unordered_map<CallId, CallRecord> m_calls;
    std::unordered_map<OperatorId, double> m_operatorWeights;
    std::unordered_map<ProgramId, CostWeights> m_costWeights;
    std::size_t m_running = 0;
    TimePoint m_sweepAt;
    SchedulerActions m_actions;
};

} // namespace basilpoint

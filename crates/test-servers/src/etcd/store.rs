//! An in-memory store with etcd v3's history: every key at every kept revision, compaction and
//! leases. It does no I/O, and the caller passes the time.

use maplefall_etcd_wire::{
    compare, error, request_op, response_op, Compare, DeleteRangeRequest, DeleteRangeResponse,
    Event, KeyValue, PutRequest, PutResponse, RangeRequest, RangeResponse, RequestOp,
    ResponseHeader, ResponseOp, TxnRequest, TxnResponse,
};
use std::collections::{BTreeMap, BTreeSet};
use std::ops::Bound;

/// Why a call is rejected, in etcd's own words.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refused(pub &'static str);

/// A lease.
#[derive(Clone, Debug)]
struct Lease {
    ttl: i64,
    expires_at: f64,
    keys: BTreeSet<Vec<u8>>,
}

/// A key's versions by revision; `None` where it was deleted.
type Versions = BTreeMap<i64, Option<KeyValue>>;

/// The key-value store of a cluster.
#[derive(Clone, Debug)]
pub struct Store {
    cluster: u64,
    revision: i64,
    compacted: i64,
    keys: BTreeMap<Vec<u8>, Versions>,
    /// The changes at each kept revision.
    history: BTreeMap<i64, Vec<Event>>,
    leases: BTreeMap<i64, Lease>,
    next_lease: i64,
}

impl Store {
    /// Creates an empty store of the cluster with this id.
    pub fn new(cluster: u64) -> Store {
        Store {
            cluster,
            revision: 1,
            compacted: 0,
            keys: BTreeMap::new(),
            history: BTreeMap::new(),
            leases: BTreeMap::new(),
            next_lease: 1000,
        }
    }

    /// Returns the latest revision.
    pub fn revision(&self) -> i64 {
        self.revision
    }

    /// Returns the cluster id.
    pub fn cluster(&self) -> u64 {
        self.cluster
    }

    /// Returns the oldest revision that can be read; 0 before the first compaction.
    pub fn compacted(&self) -> i64 {
        self.compacted
    }

    /// Returns the response header of a member that is at this revision.
    pub fn header(&self, member: u64, revision: i64) -> ResponseHeader {
        ResponseHeader {
            cluster_id: self.cluster,
            member_id: member,
            revision,
            raft_term: 2,
        }
    }

    /// Returns the keys of a range at the requested revision or at `now_at`, the member's revision.
    ///
    /// # Errors
    /// If the key is empty, or the revision is compacted or in the future.
    pub fn range(&self, request: &RangeRequest, now_at: i64) -> Result<RangeResponse, Refused> {
        if request.key.is_empty() {
            return Err(Refused(error::EMPTY_KEY));
        }
        let at = if request.revision <= 0 {
            now_at
        } else {
            request.revision
        };
        if at > now_at {
            return Err(Refused(error::FUTURE));
        }
        if at < self.compacted {
            return Err(Refused(error::COMPACTED));
        }
        let mut kvs: Vec<KeyValue> = Vec::new();
        let (mut count, mut more) = (0, false);
        let range: Box<dyn Iterator<Item = (&Vec<u8>, &Versions)>> = match request.sort_order {
            2 => Box::new(self.within(&request.key, &request.range_end).rev()),
            _ => Box::new(self.within(&request.key, &request.range_end)),
        };
        for (_, versions) in range {
            let Some((_, Some(kv))) = versions.range(..=at).next_back() else {
                continue;
            };
            count += 1;
            if request.limit > 0 && kvs.len() as i64 >= request.limit {
                more = true;
            } else if !request.count_only {
                kvs.push(match request.keys_only {
                    true => KeyValue {
                        value: Vec::new(),
                        ..kv.clone()
                    },
                    false => kv.clone(),
                });
            }
        }
        Ok(RangeResponse {
            header: None,
            kvs,
            more,
            count,
        })
    }

    fn within(
        &self,
        key: &[u8],
        end: &[u8],
    ) -> impl DoubleEndedIterator<Item = (&Vec<u8>, &Versions)> + use<'_> {
        let to = match end {
            [] => Bound::Excluded([key, &[0]].concat()),
            [0] => Bound::Unbounded,
            // A range that ends before it starts is empty.
            end => Bound::Excluded(end.max(key).to_vec()),
        };
        self.keys.range((Bound::Included(key.to_vec()), to))
    }

    fn current(&self, key: &[u8]) -> Option<&KeyValue> {
        self.keys.get(key)?.values().next_back()?.as_ref()
    }

    /// Writes a key at a new revision.
    ///
    /// # Errors
    /// If the key is empty or the lease does not exist.
    pub fn put(&mut self, request: &PutRequest) -> Result<PutResponse, Refused> {
        let step = RequestOp {
            request: Some(request_op::Request::Put(request.clone())),
        };
        match self
            .apply(&[step], self.revision)?
            .pop()
            .and_then(|done| done.response)
        {
            Some(response_op::Response::Put(done)) => Ok(done),
            _ => Ok(PutResponse::default()),
        }
    }

    /// Deletes the keys of a range at one new revision; without keys, the revision stays.
    ///
    /// # Errors
    /// If the key is empty.
    pub fn delete(&mut self, request: &DeleteRangeRequest) -> Result<DeleteRangeResponse, Refused> {
        let step = RequestOp {
            request: Some(request_op::Request::DeleteRange(request.clone())),
        };
        match self
            .apply(&[step], self.revision)?
            .pop()
            .and_then(|done| done.response)
        {
            Some(response_op::Response::DeleteRange(done)) => Ok(done),
            _ => Ok(DeleteRangeResponse::default()),
        }
    }

    /// Runs a transaction, with all of its changes at one revision.
    ///
    /// # Errors
    /// The error of an operation; nothing is changed then.
    pub fn txn(&mut self, request: &TxnRequest, now_at: i64) -> Result<TxnResponse, Refused> {
        let succeeded = request.compare.iter().all(|compare| self.holds(compare));
        let steps = if succeeded {
            &request.success
        } else {
            &request.failure
        };
        let responses = self.apply(steps, now_at)?;
        Ok(TxnResponse {
            header: None,
            succeeded,
            responses,
        })
    }

    fn holds(&self, compare: &Compare) -> bool {
        let none = KeyValue::default();
        let kv = self.current(&compare.key);
        let order = match &compare.union {
            Some(compare::Union::Version(other)) => kv.unwrap_or(&none).version.cmp(other),
            Some(compare::Union::Create(other)) => kv.unwrap_or(&none).create_revision.cmp(other),
            Some(compare::Union::Mod(other)) => kv.unwrap_or(&none).mod_revision.cmp(other),
            Some(compare::Union::Lease(other)) => kv.unwrap_or(&none).lease.cmp(other),
            // A missing key has no value to compare.
            Some(compare::Union::Value(other)) => match kv {
                Some(kv) => kv.value.cmp(other),
                None => return false,
            },
            None => kv.unwrap_or(&none).version.cmp(&0),
        };
        match compare.result {
            0 => order.is_eq(),
            1 => order.is_gt(),
            2 => order.is_lt(),
            _ => order.is_ne(),
        }
    }

    fn apply(&mut self, steps: &[RequestOp], now_at: i64) -> Result<Vec<ResponseOp>, Refused> {
        // All operations are checked first, so that a rejected transaction changes nothing.
        let mut written = BTreeSet::new();
        for step in steps {
            match &step.request {
                Some(request_op::Request::Put(put)) => {
                    if put.key.is_empty() {
                        return Err(Refused(error::EMPTY_KEY));
                    }
                    if put.lease != 0 && !self.leases.contains_key(&put.lease) {
                        return Err(Refused(error::NO_LEASE));
                    }
                    if !written.insert(&put.key) {
                        return Err(Refused(error::DUPLICATE));
                    }
                }
                Some(request_op::Request::DeleteRange(delete)) if delete.key.is_empty() => {
                    return Err(Refused(error::EMPTY_KEY));
                }
                Some(request_op::Request::Range(range)) => {
                    self.range(range, now_at)?;
                }
                _ => {}
            }
        }
        // A transaction can't both write and delete a key.
        let removes = steps.iter().filter_map(|step| match &step.request {
            Some(request_op::Request::DeleteRange(delete)) => Some(delete),
            _ => None,
        });
        for delete in removes {
            if written
                .iter()
                .any(|key| covers(&delete.key, &delete.range_end, key))
            {
                return Err(Refused(error::DUPLICATE));
            }
        }
        let revision = self.revision + 1;
        let mut events = Vec::new();
        let mut done = Vec::new();
        for step in steps {
            let response = match &step.request {
                Some(request_op::Request::Range(range)) => {
                    response_op::Response::Range(self.range(range, now_at)?)
                }
                Some(request_op::Request::Put(put)) => {
                    let prev = self.current(&put.key).cloned();
                    let kv = KeyValue {
                        key: put.key.clone(),
                        create_revision: prev
                            .as_ref()
                            .map_or(revision, |prev| prev.create_revision),
                        mod_revision: revision,
                        version: prev.as_ref().map_or(1, |prev| prev.version + 1),
                        value: put.value.clone(),
                        lease: put.lease,
                    };
                    if let Some(lease) = prev
                        .as_ref()
                        .and_then(|prev| self.leases.get_mut(&prev.lease))
                    {
                        lease.keys.remove(&put.key);
                    }
                    if let Some(lease) = self.leases.get_mut(&put.lease) {
                        lease.keys.insert(put.key.clone());
                    }
                    self.keys
                        .entry(put.key.clone())
                        .or_default()
                        .insert(revision, Some(kv.clone()));
                    events.push(Event {
                        kind: Event::PUT,
                        kv: Some(kv),
                        prev_kv: prev.clone(),
                    });
                    response_op::Response::Put(PutResponse {
                        header: None,
                        prev_kv: prev.filter(|_| put.prev_kv),
                    })
                }
                Some(request_op::Request::DeleteRange(delete)) => {
                    let deleted_kvs = self.within(&delete.key, &delete.range_end);
                    let deleted_kvs = deleted_kvs
                        .filter_map(|(_, versions)| versions.values().next_back()?.clone());
                    let deleted_kvs: Vec<KeyValue> = deleted_kvs.collect();
                    for kv in &deleted_kvs {
                        events.push(self.remove(&kv.key, revision));
                    }
                    let deleted = deleted_kvs.len() as i64;
                    let prev_kvs = if delete.prev_kv {
                        deleted_kvs
                    } else {
                        Vec::new()
                    };
                    response_op::Response::DeleteRange(DeleteRangeResponse {
                        header: None,
                        deleted,
                        prev_kvs,
                    })
                }
                None => continue,
            };
            done.push(ResponseOp {
                response: Some(response),
            });
        }
        self.commit(revision, events);
        Ok(done)
    }

    fn remove(&mut self, key: &[u8], revision: i64) -> Event {
        let prev = self.current(key).cloned();
        if let Some(lease) = prev
            .as_ref()
            .and_then(|prev| self.leases.get_mut(&prev.lease))
        {
            lease.keys.remove(key);
        }
        self.keys
            .entry(key.to_vec())
            .or_default()
            .insert(revision, None);
        let kv = KeyValue {
            key: key.to_vec(),
            mod_revision: revision,
            ..KeyValue::default()
        };
        Event {
            kind: Event::DELETE,
            kv: Some(kv),
            prev_kv: prev,
        }
    }

    fn commit(&mut self, revision: i64, events: Vec<Event>) {
        if !events.is_empty() {
            self.revision = revision;
            self.history.insert(revision, events);
        }
    }

    /// Drops versions older than `revision`, except those that are current at it.
    ///
    /// # Errors
    /// If the revision is compacted already or in the future.
    pub fn compact(&mut self, revision: i64) -> Result<(), Refused> {
        if revision <= self.compacted {
            return Err(Refused(error::COMPACTED));
        }
        if revision > self.revision {
            return Err(Refused(error::FUTURE));
        }
        self.compacted = revision;
        self.history.retain(|at, _| *at >= revision);
        self.keys.retain(|_, versions| {
            let current = versions
                .range(..=revision)
                .next_back()
                .map(|(at, kv)| (*at, kv.is_some()));
            // Of a key deleted by then nothing is kept. A deletion at the revision itself stays in
            // the history, which a watch can start from.
            versions.retain(|at, _| *at > revision || current == Some((*at, true)));
            !versions.is_empty()
        });
        Ok(())
    }

    /// Returns the changes in a range from revision `from` to `now_at`, the member's revision,
    /// grouped by revision.
    ///
    /// # Errors
    /// The oldest kept revision, if `from` is older.
    pub fn changes(
        &self,
        key: &[u8],
        end: &[u8],
        from: i64,
        now_at: i64,
    ) -> Result<Vec<(i64, Vec<Event>)>, i64> {
        if from < self.compacted {
            return Err(self.compacted);
        }
        let mut found = Vec::new();
        if from > now_at {
            return Ok(found);
        }
        for (revision, events) in self.history.range(from..=now_at) {
            let in_range = |event: &&Event| {
                event
                    .kv
                    .as_ref()
                    .is_some_and(|kv| covers(key, end, &kv.key))
            };
            let events: Vec<Event> = events.iter().filter(in_range).cloned().collect();
            if !events.is_empty() {
                found.push((*revision, events));
            }
        }
        Ok(found)
    }

    /// Grants a lease of `ttl` seconds with this id, or with an id chosen by the store if it is 0;
    /// returns the id.
    ///
    /// # Errors
    /// If the id is in use.
    pub fn grant(&mut self, now_ms: f64, ttl: i64, id: i64) -> Result<i64, Refused> {
        if self.leases.contains_key(&id) {
            return Err(Refused(error::LEASE_EXISTS));
        }
        let id = if id == 0 { self.next_lease } else { id };
        self.next_lease = self.next_lease.max(id) + 1;
        self.leases.insert(
            id,
            Lease {
                ttl,
                expires_at: now_ms + ttl as f64 * 1000.0,
                keys: BTreeSet::new(),
            },
        );
        Ok(id)
    }

    /// Renews a lease; returns its TTL in seconds, or 0 if it does not exist.
    pub fn keep_alive(&mut self, now_ms: f64, id: i64) -> i64 {
        self.leases.get_mut(&id).map_or(0, |lease| {
            lease.expires_at = now_ms + lease.ttl as f64 * 1000.0;
            lease.ttl
        })
    }

    /// Returns the remaining seconds of a lease, or -1 if it does not exist.
    pub fn time_to_live(&self, now_ms: f64, id: i64) -> i64 {
        self.leases.get(&id).map_or(-1, |lease| {
            ((lease.expires_at - now_ms) / 1000.0).ceil().max(0.0) as i64
        })
    }

    /// Revokes a lease and deletes its keys at one revision.
    ///
    /// # Errors
    /// If the lease does not exist.
    pub fn revoke(&mut self, id: i64) -> Result<(), Refused> {
        let lease = self.leases.remove(&id).ok_or(Refused(error::NO_LEASE))?;
        let revision = self.revision + 1;
        let events = lease
            .keys
            .iter()
            .map(|key| self.remove(key, revision))
            .collect();
        self.commit(revision, events);
        Ok(())
    }

    /// Revokes the expired leases; returns whether there were any.
    pub fn expire(&mut self, now_ms: f64) -> bool {
        let expired = self
            .leases
            .iter()
            .filter(|(_, lease)| lease.expires_at <= now_ms);
        let expired: Vec<i64> = expired.map(|(id, _)| *id).collect();
        expired
            .iter()
            .filter(|id| self.revoke(**id).is_ok())
            .count()
            > 0
    }
}

/// Returns whether the range from `key` to `end` covers `other`.
pub fn covers(key: &[u8], end: &[u8], other: &[u8]) -> bool {
    match end {
        [] => other == key,
        [0] => other >= key,
        end => other >= key && other < end,
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use maplefall_etcd_wire::prefix_end;

    fn put(store: &mut Store, key: &str, value: &str, lease: i64) -> i64 {
        let put = PutRequest {
            key: key.into(),
            value: value.into(),
            lease,
            prev_kv: false,
        };
        store.put(&put).unwrap();
        store.revision()
    }

    fn all(store: &Store, revision: i64) -> Result<Vec<String>, Refused> {
        let range = RangeRequest {
            key: b"/".to_vec(),
            range_end: prefix_end(b"/"),
            revision,
            ..Default::default()
        };
        let kvs = store.range(&range, store.revision())?.kvs;
        Ok(kvs
            .iter()
            .map(|kv| format!("{}={}", text(&kv.key), text(&kv.value)))
            .collect())
    }

    fn text(bytes: &[u8]) -> String {
        String::from_utf8(bytes.to_vec()).unwrap()
    }

    #[test]
    fn only_kept_revisions_can_be_read_and_watched() {
        let mut store = Store::new(7);
        let a = put(&mut store, "/a", "1", 0);
        let b = put(&mut store, "/b", "1", 0);
        put(&mut store, "/a", "2", 0);
        store
            .delete(&DeleteRangeRequest {
                key: b"/b".to_vec(),
                ..Default::default()
            })
            .unwrap();
        assert_eq!(all(&store, a).unwrap(), ["/a=1"]);
        assert_eq!(all(&store, b).unwrap(), ["/a=1", "/b=1"]);
        assert_eq!(all(&store, 0).unwrap(), ["/a=2"]);
        assert_eq!(all(&store, 99), Err(Refused(error::FUTURE)));
        assert_eq!(
            store
                .changes(b"/", b"0", a, store.revision())
                .unwrap()
                .len(),
            4
        );
        store.compact(b).unwrap();
        assert_eq!(all(&store, a), Err(Refused(error::COMPACTED)));
        assert_eq!(all(&store, b).unwrap(), ["/a=1", "/b=1"]);
        assert_eq!(store.changes(b"/", b"0", a, store.revision()), Err(b));
        assert_eq!(
            store
                .changes(b"/", b"0", b, store.revision())
                .unwrap()
                .len(),
            3
        );
        store.compact(store.revision()).unwrap();
        assert_eq!(all(&store, 0).unwrap(), ["/a=2"]);
        assert_eq!(store.compact(b), Err(Refused(error::COMPACTED)));
        assert_eq!(
            store.compact(store.revision() + 1),
            Err(Refused(error::FUTURE))
        );
    }

    #[test]
    fn a_transaction_makes_one_revision_and_a_rejected_one_none() {
        let mut store = Store::new(7);
        let before = put(&mut store, "/a", "1", 0);
        let step = |key: &str, lease| RequestOp {
            request: Some(request_op::Request::Put(PutRequest {
                key: key.into(),
                lease,
                ..Default::default()
            })),
        };
        let compare = Compare {
            result: 0,
            target: 3,
            key: b"/a".to_vec(),
            union: Some(compare::Union::Value(b"1".to_vec())),
        };
        let mut txn = TxnRequest {
            compare: vec![compare],
            success: vec![step("/a", 0), step("/c", 0)],
            failure: vec![],
        };
        assert!(store.txn(&txn, before).unwrap().succeeded);
        assert_eq!(store.revision(), before + 1);
        assert_eq!(
            store.changes(b"/", b"0", before + 1, before + 1).unwrap()[0]
                .1
                .len(),
            2
        );
        assert!(
            !store.txn(&txn, before + 1).unwrap().succeeded,
            "the compared value has changed"
        );
        txn.failure = vec![step("/d", 0), step("/e", 5)];
        assert_eq!(store.txn(&txn, before + 1), Err(Refused(error::NO_LEASE)));
        // By etcd's rules a transaction changes each key at most once.
        let delete = |key: &str, end: &str| RequestOp {
            request: Some(request_op::Request::DeleteRange(DeleteRangeRequest {
                key: key.into(),
                range_end: end.into(),
                prev_kv: false,
            })),
        };
        let refused = |store: &mut Store, success| {
            store
                .txn(
                    &TxnRequest {
                        success,
                        ..Default::default()
                    },
                    before + 1,
                )
                .unwrap_err()
                .0
        };
        assert_eq!(
            refused(&mut store, vec![step("/d", 0), step("/d", 0)]),
            error::DUPLICATE
        );
        assert_eq!(
            refused(&mut store, vec![delete("/c", "/e"), step("/d", 0)]),
            error::DUPLICATE
        );
        assert_eq!(refused(&mut store, vec![step("", 0)]), error::EMPTY_KEY);
        let future = RangeRequest {
            key: b"/a".to_vec(),
            revision: 99,
            ..Default::default()
        };
        let read = RequestOp {
            request: Some(request_op::Request::Range(future)),
        };
        assert_eq!(
            refused(&mut store, vec![step("/d", 0), read]),
            error::FUTURE
        );
        assert_eq!(
            (store.revision(), all(&store, 0).unwrap().len()),
            (before + 1, 2)
        );
    }

    #[test]
    fn an_expired_lease_deletes_its_keys_at_one_revision() {
        let mut store = Store::new(7);
        let lease = store.grant(0.0, 2, 0).unwrap();
        assert_eq!(
            store.grant(0.0, 2, lease),
            Err(Refused(error::LEASE_EXISTS))
        );
        put(&mut store, "/a", "1", lease);
        put(&mut store, "/b", "1", lease);
        let last = put(&mut store, "/b", "2", 0);
        assert_eq!(
            (
                store.keep_alive(1000.0, lease),
                store.time_to_live(1500.0, lease)
            ),
            (2, 2)
        );
        assert!(!store.expire(2500.0));
        assert!(store.expire(3000.0));
        assert_eq!(store.revision(), last + 1);
        assert_eq!(all(&store, 0).unwrap(), ["/b=2"]);
        assert_eq!(
            (store.keep_alive(0.0, lease), store.time_to_live(0.0, lease)),
            (0, -1)
        );
        assert_eq!(store.revoke(lease), Err(Refused(error::NO_LEASE)));
    }

    #[test]
    fn ranges_that_end_before_they_start_are_empty() {
        let mut store = Store::new(7);
        put(&mut store, "/a", "1", 0);
        let count = |key: &[u8], end: &[u8]| {
            let range = RangeRequest {
                key: key.to_vec(),
                range_end: end.to_vec(),
                ..Default::default()
            };
            store.range(&range, store.revision()).unwrap().kvs.len()
        };
        assert_eq!(
            (
                count(b"/z", b"/a"),
                count(b"/a", b"/a"),
                count(b"/a", b""),
                count(&[0], &[0])
            ),
            (0, 0, 1, 1)
        );
    }
}

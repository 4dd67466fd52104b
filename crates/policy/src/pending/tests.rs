use super::*;
use crate::interface::{ClassId, CustomerId, PlanId};

fn pending(id: u32, authorized: bool) -> Pending {
    let request = Request {
        id: RequestId(id),
        customer: CustomerId(1),
        plan: PlanId(0),
        class: ClassId(0),
        units: 1.0,
        deadline: 100.0,
        authorized,
        gateways: 1.0,
    };
    Pending::new(5.0, request)
}

#[test]
fn only_the_attempt_in_flight_can_end() {
    let mut pending = pending(1, true);
    assert!(!pending.end_attempt(BackendId(1), 0), "no attempt was sent");
    pending.start_attempt(BackendId(1));
    assert!(!pending.end_attempt(BackendId(2), 0), "another backend");
    assert!(!pending.end_attempt(BackendId(1), 1), "another attempt");
    assert!(pending.end_attempt(BackendId(1), 0));
    assert!(
        !pending.end_attempt(BackendId(1), 0),
        "the attempt has ended"
    );
    pending.start_attempt(BackendId(1));
    assert!(!pending.end_attempt(BackendId(1), 0), "an earlier attempt");
    assert!(pending.end_attempt(BackendId(1), 1));
}

#[test]
fn a_request_is_removed_only_if_the_condition_holds() {
    let mut requests = PendingRequests::default();
    requests.insert(pending(1, true));
    requests.insert(pending(2, false));
    let awaits_auth = |pending: &mut Pending| pending.awaits_auth;
    assert!(requests.remove_if(RequestId(1), awaits_auth).is_none());
    assert!(requests.remove_if(RequestId(2), awaits_auth).is_some());
    assert!(requests.remove_if(RequestId(2), awaits_auth).is_none());
    assert!(requests.get(RequestId(1)).is_some());
    assert!(requests.get(RequestId(2)).is_none());
}

#[test]
fn an_update_returns_the_changed_request() {
    let mut requests = PendingRequests::default();
    requests.insert(pending(1, true));
    let updated = requests.update(RequestId(1), |pending| pending.responded = true);
    assert!(updated.is_some_and(|pending| pending.responded));
    assert!(requests.update(RequestId(2), |_| ()).is_none());
}

#[test]
fn an_exposure_at_an_unknown_backend_matches_no_zone() {
    let exposure = Exposure::new(3.0, None);
    assert_eq!(exposure.sent_at, 3.0);
    assert_eq!(exposure.zone, ZoneId(u32::MAX));
    assert_eq!(exposure.cell, CellId(u32::MAX));
}

//! Tests that a partner's credentials give no access to another partner's
//! objects, and of the permissions of routers.

use threadledge_lab::stand_in::object_api::{
    Authorization, ObjectApi, ObjectApiSettings, Principal, Role,
};
use threadledge_object_api::{ObjectClient, PlatformErrorKind, Scope, TransportSettings};
use threadledge_types::objects::{AcceptanceStatus, BackEndObject};

use super::support::{back_end, content, key, run_with_timeout, start_object_api};

async fn guarded_api() -> ObjectApi {
    let mut authorization = Authorization::default();
    for partner in ["kauri", "kasamahan"] {
        let principal = Principal {
            name: format!("{partner}-operators"),
            role: Role::Partner([partner.to_owned()].into()),
        };
        authorization.allow(partner, principal);
    }
    let router = Principal {
        name: "routers".to_owned(),
        role: Role::Router,
    };
    authorization.allow("router", router);
    let settings = ObjectApiSettings {
        authorization,
        ..ObjectApiSettings::default()
    };
    start_object_api(settings).await
}

fn client(api: &ObjectApi, token: Option<&str>) -> ObjectClient {
    let settings = TransportSettings {
        token: token.map(str::to_owned),
        ..TransportSettings::default()
    };
    ObjectClient::new(api.address(), settings)
}

#[test]
fn partner_reaches_only_its_own_namespace() {
    run_with_timeout(async {
        let api = guarded_api().await;
        let own = client(&api, Some("kauri"));
        let other = client(&api, Some("kasamahan"));
        own.create(&back_end("a", 1_000)).await.expect("its own");
        let forbidden = other.create(&back_end("b", 1_000)).await;
        let kind = forbidden.expect_err("the other's").kind;
        assert!(matches!(kind, PlatformErrorKind::Forbidden(_)), "{kind}");
        let forbidden = other.get::<BackEndObject>(&key("a")).await;
        let kind = forbidden.expect_err("the other's").kind;
        assert!(matches!(kind, PlatformErrorKind::Forbidden(_)), "{kind}");
        let forbidden = own.list::<BackEndObject>(&Scope::All).await;
        let kind = forbidden.expect_err("both partners'").kind;
        assert!(matches!(kind, PlatformErrorKind::Forbidden(_)), "{kind}");
        let history = api.history();
        assert_eq!(history.len(), 1);
        assert_eq!(history[0].principal.as_deref(), Some("kauri-operators"));
    });
}

#[test]
fn unknown_token_is_refused() {
    run_with_timeout(async {
        let api = guarded_api().await;
        for token in [None, Some("guess")] {
            let refused = client(&api, token).list::<BackEndObject>(&Scope::All).await;
            assert_eq!(
                refused.expect_err("unknown").kind,
                PlatformErrorKind::Unauthorized
            );
        }
    });
}

#[test]
fn routers_read_everything_and_write_only_statuses() {
    run_with_timeout(async {
        let api = guarded_api().await;
        let partner = client(&api, Some("kauri"));
        let router = client(&api, Some("router"));
        partner
            .create(&back_end("a", 1_000))
            .await
            .expect("its own");
        let listed = router
            .list::<BackEndObject>(&Scope::All)
            .await
            .expect("allowed");
        let mut object = content(listed.items[0].clone());
        let refused = router.replace(&object).await;
        assert!(matches!(
            refused.expect_err("spec").kind,
            PlatformErrorKind::Forbidden(_)
        ));
        object.status = Some(AcceptanceStatus::default());
        let refused = partner.replace_status(&object).await;
        assert!(matches!(
            refused.expect_err("status").kind,
            PlatformErrorKind::Forbidden(_)
        ));
        router.replace_status(&object).await.expect("allowed");
    });
}

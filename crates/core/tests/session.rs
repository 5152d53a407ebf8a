//! A session token is accepted only if its claims are signed with a known key, unexpired and of
//! the same account.

use oleander_core::ids::{AccountName, KeyId};
use oleander_core::session::{SessionClaims, SessionError, SessionKey, SessionSigner};
use oleander_core::units::Timestamp;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const NOW: Timestamp = Timestamp::from_millis(1_000_000);

fn config() -> ProptestConfig {
    ProptestConfig {
        rng_seed: RngSeed::Fixed(7),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

fn key(id: &str, secret: &str) -> SessionKey {
    SessionKey::new(id.parse::<KeyId>().unwrap(), secret.as_bytes())
}

fn claims(account: &str, expires_at: u64) -> SessionClaims {
    SessionClaims {
        account: account.parse().unwrap(),
        target: "menu-plan".parse().unwrap(),
        version: "small@1".parse().unwrap(),
        session: "s-1".parse().unwrap(),
        expires_at: Timestamp::from_millis(expires_at),
    }
}

fn account(name: &str) -> AccountName {
    name.parse().unwrap()
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn a_signed_token_verifies_to_its_claims(name in "[a-z]{1,12}", left in 1u64..1_000_000) {
        let signer = SessionSigner::new(vec![key("k.1", "one secret of a deployment")]);
        let claims = claims(&name, NOW.as_millis() + left);
        let token = signer.sign(&claims).unwrap();
        prop_assert_eq!(signer.verify(&token, &claims.account, NOW), Ok(claims.clone()));
        let other = account(&format!("{name}-other"));
        prop_assert_eq!(signer.verify(&token, &other, NOW), Err(SessionError::OtherAccount));
        let end = claims.expires_at;
        prop_assert_eq!(signer.verify(&token, &claims.account, end), Err(SessionError::Expired));
    }

    #[test]
    fn a_changed_byte_is_rejected(at in 0usize..200, bit in 0u8..7) {
        let signer = SessionSigner::new(vec![key("k1", "one secret of a deployment")]);
        let claims = claims("vans", NOW.as_millis() + 1_000);
        let token = signer.sign(&claims).unwrap();
        let mut bytes = token.clone().into_bytes();
        let at = at % bytes.len();
        bytes[at] ^= 1 << bit;
        let Ok(changed) = String::from_utf8(bytes) else { return Ok(()) };
        let verified = signer.verify(&changed, &claims.account, NOW);
        // Uppercase hex digits are equivalent; everything else must fail.
        prop_assert!(verified.is_err() || changed.eq_ignore_ascii_case(&token), "{changed}");
    }

    #[test]
    fn any_text_is_rejected_without_a_panic(
        text in "\\PC{0,300}",
        dots in "os1\\.[0-9a-f.]{0,80}"
    ) {
        let signer = SessionSigner::new(vec![key("k1", "one secret of a deployment")]);
        prop_assert!(signer.verify(&text, &account("vans"), NOW).is_err());
        prop_assert!(signer.verify(&dots, &account("vans"), NOW).is_err());
    }
}

#[test]
fn keys_rotate_without_ending_sessions() {
    let (old, new) = (key("k1", "the old secret of it"), key("k2", "the new secret of it"));
    let claims = claims("vans", NOW.as_millis() + 1_000);
    let before = SessionSigner::new(vec![old.clone()]).sign(&claims).unwrap();
    let during = SessionSigner::new(vec![new.clone(), old]);
    assert!(during.verify(&before, &claims.account, NOW).is_ok());
    assert!(during.sign(&claims).unwrap().ends_with(".k2"));
    let after = SessionSigner::new(vec![new]);
    assert_eq!(after.verify(&before, &claims.account, NOW), Err(SessionError::UnknownKey));
}

#[test]
fn another_secret_under_the_same_key_id_is_rejected_as_forged() {
    let claims = claims("vans", NOW.as_millis() + 1_000);
    let forged = SessionSigner::new(vec![key("k1", "a secret that was guessed")]);
    let token = forged.sign(&claims).unwrap();
    let signer = SessionSigner::new(vec![key("k1", "one secret of a deployment")]);
    assert_eq!(signer.verify(&token, &claims.account, NOW), Err(SessionError::Forged));
}

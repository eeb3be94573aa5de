//! Transactions that move allocations of organisations' limits.

use nutmegcart_control::keys;
use nutmegcart_control::keys::CellKeys;
use nutmegcart_control::limit_exchange::LimitRecord;
use nutmegcart_control::limit_exchange::transaction;
use nutmegcart_jobs::limit_moves::Gift;
use nutmegcart_jobs::record::decode;
use nutmegcart_platform::MemoryStore;
use nutmegcart_platform::Txn;

/// Defines a named test for each argument of a test function.
macro_rules! cases {
    ($test:ident: $($(#[$doc:meta])* $name:ident => $argument:expr;)*) => {
        $($(#[$doc])* #[test] fn $name() { $test($argument); })*
    };
}

#[derive(Clone, Copy)]
struct Case {
    /// Revisions by which fencing token and compared revision are wrong.
    wrong_fence: i64,
    wrong_base: i64,
    /// Whether allocations are stored before.
    stored: bool,
    committed: bool,
}

fn moves(case: Case) {
    let memory = MemoryStore::default();
    let store = memory.store();
    let own = CellKeys::new(2);
    let owner = Txn::default().put(own.owner(), b"owner".to_vec());
    let fence = store.txn(&owner).expect("an answer").revision;
    let mut gift = Gift {
        organisation: "ferries".into(),
        base: 0,
        cells: vec![250_000, 400_000, 100_000, 250_000],
        moved: 150_000,
    };
    if case.stored {
        let first = transaction(&own, fence, &gift);
        gift.base = store.txn(&first).expect("an answer").revision;
    }
    gift.base += case.wrong_base;
    gift.cells = vec![300_000, 400_000, 50_000, 250_000];
    let txn = transaction(&own, fence + case.wrong_fence, &gift);
    let reply = store.txn(&txn).expect("an answer");
    assert_eq!(reply.committed, case.committed);
    if !case.committed {
        let found: Vec<&str> = reply.found.iter().map(|item| &*item.key).collect();
        assert!(found.contains(&&*own.owner()), "{found:?}");
        return;
    }
    let key = keys::limit(&gift.organisation);
    let found = store.range(&key).expect("an answer");
    let item = found.get(&key).expect("a value");
    let record: LimitRecord = decode(&item.value).expect("it decodes");
    assert_eq!(record.cells, gift.cells);
    assert_eq!(record.organisation, gift.organisation);
}

cases! { moves:
    first_move_is_stored => Case { wrong_fence: 0, wrong_base: 0, stored: false, committed: true };
    later_move_is_stored => Case { wrong_fence: 0, wrong_base: 0, stored: true, committed: true };
    /// Guards against a late transaction of a former owner.
    former_owner_moves_nothing => Case {
        wrong_fence: -1, wrong_base: 0, stored: true, committed: false,
    };
    /// Guards against two donors that overwrite each other's move.
    move_of_older_allocations_is_not_stored => Case {
        wrong_fence: 0, wrong_base: -1, stored: true, committed: false,
    };
}

/// Guards against two organisations that share a key, and keys that the store does not accept.
#[test]
fn odd_names_have_keys_of_their_own() {
    let long = "x".repeat(300);
    let names = ["ferries", "a/b", "a.b", "~", "", "ä", &long, &long[1..]];
    let keys: Vec<String> = names
        .iter()
        .map(|name| keys::limit(&(*name).into()))
        .collect();
    for (index, key) in keys.iter().enumerate() {
        assert!(key.len() <= 200 && key.is_ascii(), "{key}");
        assert!(!keys[..index].contains(key), "{key}");
    }
}

//! Under which keys a node writes its records, so that a write that is executed late replaces no
//! newer record.

use rilltrack::{
    coordination::record_keys::RecordKeys,
    id::{Generation, Incarnation},
    state::member::{Member, Status},
};

/// A record of a node with this number whose content is `bandwidth`.
fn record(sequence: u64, bandwidth: u32) -> Member {
    let address = "127.0.0.1:7003".parse().unwrap();
    Member {
        node: "n1".parse().unwrap(),
        incarnation: Incarnation(1),
        sequence,
        generation: Generation::default(),
        status: Status::Alive,
        domain: "here".parse().unwrap(),
        peers: address,
        inbound: address,
        labels: Default::default(),
        targets: Vec::new(),
        bandwidth,
        evidence: Default::default(),
    }
}

/// Writes a record that the store answers; returns it and the generations that it deleted.
fn write(keys: &mut RecordKeys, sequence: u64, content: u32) -> (Member, Vec<Generation>) {
    let written = keys.next_record(record(sequence, content));
    let deleted = keys.obsolete(written.generation);
    keys.on_written(written.generation, &deleted);
    (written, deleted)
}

/// Writes a record that the store doesn't answer; returns it.
fn write_unanswered(keys: &mut RecordKeys, sequence: u64, content: u32) -> Member {
    let written = keys.next_record(record(sequence, content));
    keys.on_failed(written.clone());
    written
}

macro_rules! cases {
    ($($(#[$meta:meta])* $name:ident => |$keys:ident| $body:block)*) => {
        $(
            $(#[$meta])*
            #[test]
            fn $name() {
                let mut $keys = RecordKeys::default();
                $body
            }
        )*
    };
}

cases! {
    /// Guards against a key that an earlier process may still write to.
    first_record_of_a_process_has_a_new_key => |keys| {
        keys.note(Generation(3));
        let (first, deleted) = write(&mut keys, 10, 1);
        assert_eq!((first.generation, deleted), (Generation(10), vec![Generation(3)]));
    }

    /// Guards against a key for each write.
    answered_writes_keep_their_key => |keys| {
        for sequence in 10..15 {
            let (record, deleted) = write(&mut keys, sequence, sequence as u32);
            assert_eq!((record.sequence, record.generation), (sequence, Generation(10)));
            assert!(deleted.is_empty());
        }
    }

    /// Guards against a late write that replaces a newer record of its key.
    key_of_a_failed_write_gets_no_other_record => |keys| {
        let failed = write_unanswered(&mut keys, 10, 1);
        let (next, deleted) = write(&mut keys, 11, 2);
        assert_ne!(next.generation, failed.generation);
        assert_eq!(deleted, [failed.generation]);
    }

    /// Guards against a key for each write while the store loses answers.
    failed_write_is_repeated_as_it_was => |keys| {
        let failed = write_unanswered(&mut keys, 10, 1);
        assert_eq!(write_unanswered(&mut keys, 11, 1), failed);
        let (repeated, _) = write(&mut keys, 12, 1);
        assert_eq!(repeated, failed);
    }

    /// Guards against a newer record under the key of a repeated write: the first copy of it may
    /// be executed after that record.
    key_of_a_repeated_write_gets_no_other_record => |keys| {
        write_unanswered(&mut keys, 10, 1);
        let (repeated, _) = write(&mut keys, 11, 1);
        let (next, deleted) = write(&mut keys, 12, 2);
        assert_ne!(next.generation, repeated.generation);
        assert_eq!(deleted, [repeated.generation]);
    }

    /// Guards against an old number for content that was replaced in between.
    content_that_returns_gets_a_new_number_and_key => |keys| {
        let failed = write_unanswered(&mut keys, 10, 1);
        write_unanswered(&mut keys, 11, 2);
        let (returned, _) = write(&mut keys, 12, 1);
        assert_eq!(returned.sequence, 12);
        assert_ne!(returned.generation, failed.generation);
    }

    /// Guards against records of late writes that stay in the store.
    key_that_appears_again_is_deleted_again => |keys| {
        let failed = write_unanswered(&mut keys, 10, 1);
        write(&mut keys, 11, 2);
        keys.note(failed.generation);
        let (_, deleted) = write(&mut keys, 12, 3);
        assert_eq!(deleted, [failed.generation]);
    }
}

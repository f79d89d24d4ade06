//! Names of programs and turns, qualified by workspace.

use merlinsaddle::core::workspaces::{qualified_name, resolved_name, unmarked_name};
use proptest::prelude::*;
use rstest::rstest;

fn qualified(workspace: Option<&str>, name: &str) -> Box<str> {
    qualified_name(workspace.map(Box::from).as_ref(), name)
}

/// Guards against a change of names, by which turns of running programs would be lost in an update.
#[rstest]
#[case::in_a_workspace(Some("acme"), "t1", "4:acme/t1")]
#[case::in_a_workspace_without_a_name(Some(""), "t1", "0:/t1")]
#[case::in_a_workspace_with_separators(Some("a/b:c"), "t1", "5:a/b:c/t1")]
#[case::without_workspace(None, "9c41d07be2a35f68", "9c41d07be2a35f68")]
#[case::with_a_colon(None, "12:34", "12:34")]
#[case::of_another_length(None, "3:acme/t1", "3:acme/t1")]
#[case::with_leading_zero(None, "04:acme/t1", "04:acme/t1")]
#[case::with_sign(None, "+4:acme/t1", "+4:acme/t1")]
#[case::too_short(None, "9:acme/t1", "9:acme/t1")]
#[case::inside_a_character(None, "1:é/t1", "1:é/t1")]
#[case::like_a_workspaces(None, "4:acme/t1", "-/4:acme/t1")]
#[case::like_one_without_a_name(None, "0:/t1", "-/0:/t1")]
#[case::like_a_marked_one(None, "-/4:acme/t1", "-/-/4:acme/t1")]
#[case::with_the_mark_alone(None, "-/t1", "-/t1")]
fn qualified_names_keep_their_form(
    #[case] workspace: Option<&str>,
    #[case] name: &str,
    #[case] expected: &str,
) {
    assert_eq!(&*qualified(workspace, name), expected);
}

/// Guards against a row or message of an older release that reaches another workspace's turns.
#[rstest]
#[case::same_workspace("4:acme/t1", "4:acme/p", "4:acme/t1")]
#[case::no_workspace("t1", "p", "t1")]
#[case::forged_turn("4:acme/t1", "guest", "-/4:acme/t1")]
#[case::forged_program("4:acme/p", "t1", "-/4:acme/p")]
#[case::of_a_third_workspace("4:acme/t1", "5:rival/p", "-/4:acme/t1")]
#[case::turn_of_a_forged_program("t1", "4:acme/p", "t1")]
#[case::marked("-/4:acme/t1", "guest", "-/4:acme/t1")]
fn names_of_older_releases_are_resolved(
    #[case] name: &str,
    #[case] context: &str,
    #[case] expected: &str,
) {
    assert_eq!(&*resolved_name(name, context), expected);
}

#[rstest]
#[case::plain("t1", None)]
#[case::of_a_workspace("4:acme/t1", None)]
#[case::mark_alone("-/t1", None)]
#[case::marked("-/4:acme/t1", Some("4:acme/t1"))]
#[case::marked_twice("-/-/4:acme/t1", Some("-/4:acme/t1"))]
fn only_marked_names_have_another_form(#[case] name: &str, #[case] expected: Option<&str>) {
    assert_eq!(unmarked_name(name), expected);
}

/// Few letters, so that generated names take each other's form often.
fn texts() -> impl Strategy<Value = String> {
    "[-/:0123a]{0,7}"
}

fn owners() -> impl Strategy<Value = Option<String>> {
    prop::option::of("[-/:0123a]{0,3}")
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 20_000, failure_persistence: None, rng_seed: proptest::test_runner::RngSeed::Fixed(5), ..ProptestConfig::default() })]

    /// Guards against callers of two workspaces, or of one and of none, that share a row.
    #[test]
    fn different_callers_never_share_a_name(
        one in (owners(), texts()),
        other in (owners(), texts()),
    ) {
        let names = [&one, &other].map(|(owner, name)| qualified(owner.as_deref(), name));
        prop_assert_eq!(names[0] == names[1], one == other);
    }

    /// Guards against a caller without a workspace that spells a workspace's name.
    #[test]
    fn no_name_reaches_a_workspace(name in texts(), owner in owners(), target in texts()) {
        let target = qualified(Some(owner.as_deref().unwrap_or("a")), &target);
        prop_assert_ne!(qualified(None, &target), target.clone());
        prop_assert_ne!(qualified(None, &name), target);
    }

    /// Guards against names of this release that are taken for those of an older one.
    #[test]
    fn names_of_one_caller_resolve_to_themselves(
        owner in owners(),
        turn in texts(),
        program in texts(),
    ) {
        let [turn, program] = [turn, program].map(|name| qualified(owner.as_deref(), &name));
        prop_assert_eq!(resolved_name(&turn, &program), turn.clone());
        prop_assert_eq!(resolved_name(&program, &turn), program);
    }
}

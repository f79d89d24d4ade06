use super::ResidentWatch;

/// Guards against a line for each check while memory stays near a threshold, and against none at all.
#[test]
fn level_is_told_when_it_changes() {
    let watch = ResidentWatch::new(1_000);
    let levels = [700, 750, 749, 900, 660, 649, 700, 740, 800];
    let told = levels.map(|resident| watch.observe(resident).map(|level| level.is_high));
    let (high, low) = (Some(true), Some(false));
    assert_eq!(told, [None, high, None, None, None, low, None, None, high]);
}

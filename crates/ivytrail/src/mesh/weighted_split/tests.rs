use super::*;

fn target(service: &str, weight: u32) -> RouteTarget {
    RouteTarget { service: service.into(), weight }
}

#[test]
fn any_sequence_of_requests_follows_the_weights() {
    let targets = [target("a", 70), target("b", 25), target("c", 5)];
    let mut split = WeightedSplit::new(&targets, 0.4);
    let mut counts = [0_f64; 3];

    for n_requests in 1..=1_000 {
        let service = split.next_target().expect("there are targets").clone();
        let idx = targets.iter().position(|it| it.service == service).expect("a known target");
        counts[idx] += 1.0;
        for (count, target) in counts.iter().zip(&targets) {
            let expected = f64::from(n_requests) * f64::from(target.weight) / 100.0;
            assert!((count - expected).abs() < 2.0, "{} got {count} of {expected}", target.service);
        }
    }
}

#[test]
fn targets_without_weight_get_no_requests() {
    let mut split = WeightedSplit::new(&[target("a", 0)], 0.0);

    assert_eq!(split.next_target(), None);
}

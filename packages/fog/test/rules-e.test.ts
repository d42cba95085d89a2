import { rules } from '@thornsail/fog';

rules.test('rolling,random'.split(','), [1, 2, 3]);
